"""Stops that come right behind reloads."""

import asyncio
import signal
import types

from soak.machines import client, draw, fleet, shape, steps_signals


def list_steps():
    plans = [
        draw.draw_plan(seed, 60.0, 8, len(client.STYLES), kinds=[steps_signals.KIND])
        for seed in range(10)
    ]
    return [step for plan in plans for step in plan.steps]


def test_one_to_four_reloads_are_drawn_for_each_stop():
    assert {step.values["reloads"] for step in list_steps()} == {1, 2, 3, 4}


class Machine:
    """A machine whose process notes its signals and ends at once."""

    def __init__(self):
        self.number, self.replaces, self.sent = 1, False, []
        self.process = types.SimpleNamespace(
            popen=types.SimpleNamespace(returncode=None), started=-9.0
        )

    def send(self, process, number):
        self.sent.append(number)

    async def end(self, process):
        pass

    async def start(self):
        pass


# A stop right behind a reload was not taken by nodes of earlier landings, and no soak sent one.
def test_the_reloads_come_right_before_the_stop(tmp_path):
    plan = draw.Plan(1, 1.0, 1, (), ())
    own = fleet.Fleet(plan, shape.load("repairs"), tmp_path, tmp_path)
    item = Machine()
    values = {"lead": 0.0, "burst": [], "also": [], "overlap": None, "pause": 0.0, "reloads": 2}
    asyncio.run(own.stop(item, values))
    assert item.sent == [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]
