"""A step in which clients press, while nodes stop, reload or get configurations."""

import asyncio
import random

from soak.machines import scene

TIMES = 3


def draw(rng: random.Random, stops: dict) -> dict:
    """Draws how long clients press, and what happens `after` they begin."""
    return stops | {
        "for": round(rng.uniform(2.0, 5.0), 3),
        "after": round(rng.uniform(0.3, 2.0), 3),
        "meanwhile": rng.choice(("stops", "stops", "reloads", "configurations", "all")),
        "gaps": [round(rng.uniform(0.0, 0.8), 3) for _ in range(rng.randint(1, 4))],
    }


async def press(on: scene.Scene, number: int, values: dict) -> None:
    """Adds clients, and then does what was drawn for the time in which they press."""
    pressing = asyncio.create_task(on.press(values["for"], TIMES))
    await asyncio.sleep(values["after"])
    tasks = []
    if values["meanwhile"] in ("stops", "all"):
        tasks.append(on.stop_several(number, values))
    if values["meanwhile"] in ("reloads", "all"):
        tasks.append(on.reload(number, values["gaps"]))
    if values["meanwhile"] in ("configurations", "all"):
        tasks.append(_configure(on, values["gaps"]))
    await asyncio.gather(pressing, *tasks)


async def _configure(on: scene.Scene, gaps: list[float]) -> None:
    for gap in gaps:
        await asyncio.sleep(gap)
        on.configure()
