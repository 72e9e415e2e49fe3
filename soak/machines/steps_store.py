"""Steps on the store beside planned work: it turns machines away, or its history changes."""

import asyncio
import random

from soak.machines import beside, scene

DEAF_S = 1.0


def draw_cut(rng: random.Random, stops: dict) -> dict:
    """Draws which machines are cut off from the store, how, and for how long."""
    return beside.draw(rng, stops) | {
        "how": rng.choice(("silent", "silent", "busy", "reset")),
        "machines": rng.choice((1, 1, 3)),
        "for": round(rng.uniform(0.5, 6.0), 3),
    }


def draw_history(rng: random.Random, stops: dict) -> dict:
    """Draws whether the store is compacted or comes back from a copy, and of which age."""
    return beside.draw(rng, stops) | {
        "what": rng.choice(("compact", "restore")),
        "away": rng.choice(("silent", "reset", "busy")),
        "away for": round(rng.uniform(0.1, 1.5), 3),
        "age": round(rng.uniform(0.5, 6.0), 3),
        "changes": [round(rng.uniform(0.0, DEAF_S / 3), 3) for _ in range(rng.randint(1, 3))],
    }


async def cut(on: scene.Scene, number: int, values: dict) -> None:
    """Cuts machines off from the store, from `number` on; all others reach it."""
    last = min(number + values["machines"], on.size + 1)

    async def cut_each() -> None:
        chosen = [at for at in range(number, last) if at not in on.store.turned_away]
        for at in chosen:
            on.store.turned_away[at] = values["how"]
            on.rows.happen("store cut", at, values["how"])
        await asyncio.sleep(values["for"])
        for at in chosen:
            del on.store.turned_away[at]
            on.rows.happen("store cut ends", at)

    await beside.play(on, number, values, cut_each)


async def change_history(on: scene.Scene, number: int, values: dict) -> None:
    """Compacts the history of the store, or brings it back from an older copy."""

    async def change() -> None:
        if values["what"] == "compact":
            await _compact(on, values)
        else:
            await _restore(on, values)

    await beside.play(on, number, values, change)


async def _compact(on: scene.Scene, values: dict) -> None:
    """Watches hear nothing of changes for a while, and are cut off with the history gone."""
    on.rows.happen("store trouble", 0, "deaf watches")
    on.store.deaf = True
    for gap in values["changes"]:
        await asyncio.sleep(gap)
        on.configure()
    await asyncio.sleep(DEAF_S - sum(values["changes"]))
    on.store.deaf = False
    on.store.compact()
    on.rows.happen("store works again", 0, "compacted")


async def _restore(on: scene.Scene, values: dict) -> None:
    """The store is away for a moment and comes back from a copy, in which later changes lack."""
    on.rows.happen("store trouble", 0, values["away"])
    on.store.trouble = values["away"]
    await asyncio.sleep(values["away for"])
    # Another trouble may have ended this one; the restoration itself is one too.
    on.rows.happen("store trouble", 0, "restored")
    on.store.restore(values["age"])
    on.store.trouble = ""
    on.rows.happen("store works again", 0, "restored")
