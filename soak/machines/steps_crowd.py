"""A step in which connections crowd at a node, most without a request, until its port is full."""

import asyncio
import random

from soak.machines import scene, wire

START_OF_HEAD = b"GET /s/5/0/length/0 HTTP/1.1\r\nHost: alpha.te"
HOLD_S = (0.1, 2.5)


def draw(rng: random.Random) -> dict:
    """Draws how many connections are opened, how fast, and how long each is held."""
    count = rng.choice((60, 120, 240))
    return {
        "for": round(rng.uniform(1.0, 4.0), 3),
        "held": [
            (round(rng.uniform(*HOLD_S), 3), rng.random() < 0.2)  # With a part of a head.
            for _ in range(count)
        ],
    }


async def crowd(on: scene.Scene, number: int, values: dict) -> None:
    """Opens connections to the node of machine `number`, and holds them for a while."""
    address, pause_s = on.address_of(number), values["for"] / len(values["held"])
    tasks = []
    for for_s, begins_head in values["held"]:
        tasks.append(asyncio.create_task(_hold(address, for_s, begins_head)))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*tasks)


async def _hold(address: str, for_s: float, begins_head: bool) -> None:
    try:
        _, writer = await wire.connect(address)
    except OSError:
        return
    if begins_head:
        writer.write(START_OF_HEAD)
    await asyncio.sleep(for_s)
    writer.close()
