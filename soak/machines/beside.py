"""Planned work beside trouble, in both orders.

A rule for planned work may hold only if nothing unplanned came in the last `CONTACT_S` before it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from soak.machines import client, findings, scene

WORKS = ("stops", "stops", "reloads", "configurations", "nothing")
TROUBLE_FIRST, WORK_FIRST, AT_ONCE = "trouble first", "work first", "at once"
CLIENTS, CLIENTS_S = 4, 5.0


def draw(rng: random.Random, stops: dict) -> dict:
    """Draws the work, at which machine it is done, and the order."""
    return stops | {
        "work": rng.choice(WORKS),
        "order": rng.choice((TROUBLE_FIRST, TROUBLE_FIRST, WORK_FIRST, WORK_FIRST, AT_ONCE)),
        "wait": round(rng.uniform(0.1, 2.0), 3),
        "place": rng.random(),
        "gaps": [round(rng.uniform(0.0, 0.8), 3) for _ in range(rng.randint(1, 4))],
        "styles": [rng.randrange(len(client.STYLES)) for _ in range(CLIENTS)],
    }


async def play(
    on: scene.Scene, number: int, values: dict, trouble: Callable[[], Awaitable[None]]
) -> None:
    """Carries out trouble at machine `number`, and planned work there or at another machine."""
    at = number if values["place"] < 1 / 2 else _find_other(on, number, values["place"] * 2 - 1)
    if values["order"] == TROUBLE_FIRST:
        await trouble()
        await asyncio.sleep(findings.CONTACT_S + values["wait"])
        await _work(on, at, values)
        return
    work = asyncio.create_task(_work(on, at, values))
    if values["order"] == WORK_FIRST:
        await asyncio.sleep(values["wait"])
    await trouble()
    await work


def _find_other(on: scene.Scene, number: int, place: float) -> int:
    others = [item.number for item in on.machines if not item.gone and item.number != number]
    return others[int(place * len(others))] if others else number


async def _work(on: scene.Scene, number: int, values: dict) -> None:
    if values["work"] == "stops":
        await on.stop_several(number, values)
        return
    for index, style in enumerate(values["styles"]):
        seed = f"beside {number} {values['wait']} {index}"
        on.send_by(number, client.STYLES[style], seed, on.shape, CLIENTS_S)
    if values["work"] == "reloads":
        await on.reload(number, values["gaps"])
    elif values["work"] == "configurations":
        for gap in values["gaps"]:
            await asyncio.sleep(gap)
            on.configure()
