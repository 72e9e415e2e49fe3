"""A step in which open connections of a machine are reset, before or after planned work.

Connections from clients, to the server beside the node and to the store are reset by their other
ends. Those between nodes have no end outside the product, and are left alone.
"""

import asyncio
import random

from soak.machines import beside, scene

ENDS = ("clients", "server", "store")


def draw(rng: random.Random, stops: dict) -> dict:
    """Draws which connections are reset, how many of them, and how often."""
    return beside.draw(rng, stops) | {
        "of": sorted(rng.sample(ENDS, rng.randint(1, len(ENDS)))),
        "share": rng.choice((0.3, 0.5, 1.0)),
        "after": [round(rng.uniform(0.0, 0.8), 3) for _ in range(rng.randint(1, 3))],
        "seed": rng.randrange(1_000_000),
    }


async def reset(on: scene.Scene, number: int, values: dict) -> None:
    """Resets connections of machine `number`, once or more."""
    rng = random.Random(values["seed"])

    async def reset_some() -> None:
        for gap in values["after"]:
            await asyncio.sleep(gap)
            _reset_once(on, number, rng, values)

    await beside.play(on, number, values, reset_some)


def _reset_once(on: scene.Scene, number: int, rng: random.Random, values: dict) -> None:
    item = on.find_machine(number)
    on.rows.happen("connections reset", number, " ".join(values["of"]))
    if "clients" in values["of"]:
        opened = [one for one in on.rows.connections if one.address == item.outbound and one.open]
        for connection in opened:
            if rng.random() < values["share"]:
                connection.tear()
    if "server" in values["of"] and not item.server.ended:
        item.server.reset_connections(rng, values["share"])
    if "store" in values["of"]:
        on.store.reset_connections(number)
