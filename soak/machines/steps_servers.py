"""A step in which servers are slow, fail or spoil their answers, before or after planned work."""

import asyncio
import random

from soak.machines import beside, scene, server_faults

KINDS = (server_faults.SLOW, server_faults.FAILS, *server_faults.OF_ANSWERS)


def draw(rng: random.Random, stops: dict) -> dict:
    """Draws the fault, the share of the requests that have it, and beside how many nodes."""
    return beside.draw(rng, stops) | {
        "fault": rng.choice(KINDS),
        "share": rng.choice((0.1, 0.3, 1.0)),
        "servers": rng.choice((1, 2)),
        "for": round(rng.uniform(1.0, 6.0), 3),
    }


async def trouble(on: scene.Scene, number: int, values: dict) -> None:
    """Lets the servers beside nodes from `number` on have a fault for some time."""
    chosen = on.machines[number - 1 :][: values["servers"]]

    async def put_in_force() -> None:
        faults = [item.server.faults for item in chosen]
        drawn = values["fault"], values["share"], values["for"]
        await asyncio.gather(*(server_faults.put_in_force(each, *drawn) for each in faults))

    await beside.play(on, number, values, put_in_force)
