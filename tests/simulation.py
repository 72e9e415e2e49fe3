"""Base of the models in virtual time that have messages on their way."""

import functools

from bench.policy import loop


class Simulation(loop.Loop):
    """Runs functions at their virtual time; `now` is in seconds."""

    def at(self, delay_s, function, *arguments):
        """Schedules a call of `function` after `delay_s` seconds."""
        self.call_after(delay_s, functools.partial(function, *arguments))

    def run_for(self, duration_s):
        """Runs all that is due within the next `duration_s` seconds."""
        self.run(self.now + duration_s)
