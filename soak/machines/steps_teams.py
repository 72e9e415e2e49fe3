"""Steps on the keys and limits of teams, and on the store while quota shares are given back."""

import asyncio
import random

from soak.machines import access, scene

LOWER_BY = 3.0


def draw_access(rng: random.Random) -> dict:
    """Draws a change of keys or limits; it is undone after `for` seconds, or never."""
    return {
        "change": rng.choice(("withdraw", "withdraw", "move", "move", "lower")),
        "share": round(rng.random(), 3),
        "for": round(rng.uniform(2.5, 9.0), 3) if rng.random() < 0.7 else None,
    }


def draw_give_back(rng: random.Random, stops: dict) -> dict:
    """Draws a trouble of the store `after` SIGTERM, or before it if negative."""
    return stops | {
        "trouble": rng.choice(("silent", "loses", "loses", "busy")),
        "after": round(rng.uniform(-0.6, 1.0), 3),
        "for": round(rng.uniform(0.3, 4.0), 3),
    }


async def change_access(on: scene.Scene, number: int, values: dict) -> None:
    """Withdraws or moves a key, or lowers a limit, and undoes it with a later configuration."""
    if not on.shape.teams:
        on.configure()
        return
    if values["change"] == "lower":
        await _lower_limit(on, values)
    else:
        await _change_key(on, values)


async def _change_key(on: scene.Scene, values: dict) -> None:
    keys = sorted(key for team in on.shape.teams for key in team.keys)
    key = keys[int(values["share"] * len(keys))]
    before = on.held.holders.get(key)
    if before is None:  # Another step has withdrawn it.
        return
    others = [team.name for team in on.shape.teams if team.name != before]
    if values["change"] == "withdraw" or not others:
        on.configure(on.held.withdraw(key))
    else:
        on.configure(on.held.hold(key, others[int(values["share"] * len(others))]))
    if values["for"] is not None:
        await asyncio.sleep(values["for"])
        on.configure(on.held.hold(key, before))


async def _lower_limit(on: scene.Scene, values: dict) -> None:
    limited = [team for team in on.shape.teams if team.rate_per_s]
    if not limited:
        on.configure()
        return
    team = limited[int(values["share"] * len(limited))]
    lower = access.Limit(team.rate_per_s / LOWER_BY, round(team.burst / LOWER_BY))
    on.configure(on.held.limit(team.name, lower))
    if values["for"] is not None:
        await asyncio.sleep(values["for"])
        on.configure(on.held.limit(team.name, access.Limit(team.rate_per_s, team.burst)))


async def give_back(on: scene.Scene, number: int, values: dict) -> None:
    """Stops nodes while the store doesn't answer, or loses its answers."""
    stops = asyncio.create_task(on.stop_several(number, values))
    await asyncio.sleep(max(0.0, values["lead"] + values["after"]))
    await on.trouble_store(values["trouble"], values["for"])
    await stops
