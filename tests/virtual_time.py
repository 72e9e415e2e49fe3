"""An event loop whose clock jumps to the next timer, so that a simulation waits for nothing."""

import asyncio
import selectors


class _InstantSelector(selectors.SelectSelector):
    """Advances the clock of the loop instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, in seconds from 0."""

    def __init__(self):
        self._virtual = _InstantSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now


def run(build):
    """Runs `build(loop)` until it ends and returns its result."""
    event_loop = VirtualLoop()
    try:
        return event_loop.run_until_complete(build(event_loop))
    finally:
        event_loop.close()
