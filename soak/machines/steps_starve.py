"""Steps in which nodes get little processor time, or stand still once, in planned work."""

import asyncio
import random

from soak.machines import scene

MIN_SHARE, MAX_SHARE = 0.3, 0.8
MIN_PERIOD_S, MAX_PERIOD_S = 0.06, 0.4
START_S = 3.0  # For which a node that starts is starved.
# A process that is frozen later in its stop has no time to end, and can't be accused.
FREEZES_END_S = 5.2


def draw_starve(rng: random.Random, stops: dict) -> dict:
    """Draws the share of time for which nodes run, in which turns, and what happens meanwhile."""
    return stops | {
        "share": round(rng.uniform(MIN_SHARE, MAX_SHARE), 3),
        "period": round(rng.uniform(MIN_PERIOD_S, MAX_PERIOD_S), 3),
        "meanwhile": rng.choice(("stops", "stops", "stops", "reloads")),
        "gaps": [round(rng.uniform(0.0, 0.8), 3) for _ in range(rng.randint(1, 4))],
    }


def draw_freeze(rng: random.Random, stop: dict) -> dict:
    """Draws a freeze at some moment of a stop; it leaves the process time to end."""
    for_s = rng.uniform(0.2, 3.0)
    at = rng.uniform(0.0, FREEZES_END_S - for_s)
    return stop | {"freeze": (round(at, 3), round(for_s, 3)), "overlap": None}


async def starve(on: scene.Scene, number: int, values: dict) -> None:
    """Starves nodes while they stop and start again, or while one of them reloads."""
    chosen = [on.starve(at, values["share"], values["period"]) for at in _list(on, number, values)]
    try:
        if values["meanwhile"] == "stops":
            await on.stop_several(number, values)
            await asyncio.sleep(START_S)
        else:
            await on.reload(number, values["gaps"])
    finally:
        for pauser in chosen:
            pauser.end()


async def freeze(on: scene.Scene, number: int, values: dict) -> None:
    """Stops a node as planned, which stands still once in its stop."""
    stops = asyncio.create_task(on.stop_several(number, values))
    at, for_s = values["freeze"]
    await on.freeze(number, values["lead"] + at, for_s)
    await stops


def _list(on: scene.Scene, number: int, values: dict) -> list[int]:
    count = values["count"] if values["meanwhile"] == "stops" else 1
    return [(number - 1 + more) % on.size + 1 for more in range(count)]
