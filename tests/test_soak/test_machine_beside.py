"""Planned work is drawn before, after and beside trouble, and is carried out in that order."""

import asyncio
import random
import types

import pytest

from soak.machines import beside, client, draw, findings, record, shape, steps_machines

NEW_KINDS = (
    "server trouble",
    "release",
    "scale",
    "reuse",
    "reset",
    "clock",
    "store cut",
    "store history",
)


class Scene:
    """A fleet of two machines on which nothing is started; it notes what is done."""

    def __init__(self):
        self.rows, self.shape, self.size = record.Record(), shape.load("repairs"), 2
        self.done: list[str] = []
        self.machines = [types.SimpleNamespace(number=at, gone=False) for at in (1, 2)]

    async def stop_several(self, number, values):
        self.done += ["work begins"]
        await asyncio.sleep(0.02)
        self.done += ["work ends"]

    async def trouble(self):
        self.done += ["trouble begins"]
        await asyncio.sleep(0.01)
        self.done += ["trouble ends"]


@pytest.mark.parametrize(
    ("order", "first"),
    [
        (beside.TROUBLE_FIRST, ["trouble begins", "trouble ends", "work begins", "work ends"]),
        (beside.WORK_FIRST, ["work begins", "trouble begins"]),
    ],
)
def test_planned_work_comes_before_trouble_or_after_it(monkeypatch, order, first):
    monkeypatch.setattr(findings, "CONTACT_S", 0.0)
    on = Scene()
    values = {"order": order, "work": "stops", "wait": 0.005, "place": 0.0}
    asyncio.run(beside.play(on, 1, values, on.trouble))
    assert on.done[: len(first)] == first
    assert len(on.done) == 4


@pytest.mark.parametrize("kind", NEW_KINDS)
def test_each_kind_of_trouble_is_drawn_in_all_orders_and_beside_all_work(kind):
    plans = [draw.draw_plan(seed, 60.0, 8, len(client.STYLES), kinds=[kind]) for seed in range(10)]
    drawn = [step.values for plan in plans for step in plan.steps]
    orders = {beside.TROUBLE_FIRST, beside.WORK_FIRST, beside.AT_ONCE}
    assert {values["order"] for values in drawn} == orders
    assert {values["work"] for values in drawn} == set(beside.WORKS)


class Highest(random.Random):
    """Draws the highest number that can be drawn, and choices as ever."""

    getrandbits = random.Random.getrandbits

    def random(self):
        return 1.0 - 2.0**-53


# A drawn place that was rounded up to 1 lay behind the last machine, and ended the run.
def test_the_highest_place_that_can_be_drawn_is_a_machine():
    on = Scene()
    numbers: list[int] = []

    async def stop_several(number, values):
        numbers.append(number)

    on.stop_several = stop_several
    values = beside.draw(Highest(), {}) | {"work": "stops", "order": beside.AT_ONCE}
    asyncio.run(beside.play(on, 1, values, on.trouble))
    assert numbers == [2]


def test_a_server_leaves_in_each_way():
    rng = random.Random(1)
    ways = {steps_machines.draw_release(rng, {})["go"]["how"] for _ in range(100)}
    assert ways == {
        steps_machines.DRAINS,
        steps_machines.GOES,
        steps_machines.NODE_FIRST,
        steps_machines.KILLED,
    }
