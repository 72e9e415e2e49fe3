"""A step in which nodes beside servers stop, reload or start anew while other machines ask them.

The clients of the other machines wait for each answer, and use methods with and without a body.
"""

import asyncio
import random

import attrs

from soak.machines import client, scene, shape

STYLES = (
    client.Style("far kept", body=1200),
    client.Style("far fresh", kept=False, body=300),
    client.Style("far bodiless", safe_method="HEAD", unsafe_method="DELETE"),
    client.Style("far put", body=20_000, unsafe_method="PUT"),
    client.Style("far large", body=200_000, size=400_000, unsafe_method="PUT"),
)
CLIENTS = (6, 12, 24)


def draw(rng: random.Random, stops: dict) -> dict:
    """Draws what the far nodes go through, and the clients that ask them meanwhile."""
    freezes = rng.choice((0, 0, 1, 3))  # An asker that stands still learns late of an end.
    return stops | {
        "what": rng.choice(("stops", "stops", "reloads", "both")),
        "gaps": [round(rng.uniform(0.0, 0.8), 3) for _ in range(rng.randint(1, 4))],
        "askers": [
            (round(rng.uniform(0.0, 1.0), 3), rng.random(), rng.randrange(len(STYLES)))
            for _ in range(rng.choice(CLIENTS))
        ],
        "ask for": round(rng.uniform(3.0, 6.0), 3),
        "freezes": [
            (round(rng.uniform(0.0, 5.0), 3), rng.random(), round(rng.uniform(0.05, 3.5), 3))
            for _ in range(freezes)
        ],
    }


async def disturb(on: scene.Scene, number: int, values: dict) -> None:
    """Lets other machines ask for the service of machine `number` while its node stops."""
    tasks = [asyncio.create_task(_ask(on, number, values))]
    _, askers = on.list_askers(number)
    for at, place, for_s in values["freezes"] if askers else ():
        asker = askers[int(place * len(askers))]
        tasks.append(asyncio.create_task(on.freeze_serving(asker, at, for_s)))
    if values["what"] in ("reloads", "both"):
        tasks.append(asyncio.create_task(on.reload(number, values["gaps"])))
    if values["what"] in ("stops", "both"):
        tasks.append(asyncio.create_task(on.stop_several(number, values)))
    await asyncio.gather(*tasks)


async def _ask(on: scene.Scene, number: int, values: dict) -> None:
    service, machines = on.list_askers(number)
    of = narrow(on.shape, service)
    if of is None or not machines:
        return
    begin = asyncio.get_running_loop().time()
    for index, (at, place, style) in enumerate(sorted(values["askers"])):
        await asyncio.sleep(max(0.0, begin + at - asyncio.get_running_loop().time()))
        asker = machines[int(place * len(machines))]
        on.send_by(asker, STYLES[style], f"far {number} {index}", of, values["ask for"])


def narrow(of: shape.Shape, service: str) -> shape.Shape | None:
    """Returns a shape whose clients ask for one service only; None if they ask nothing of it."""
    kinds = tuple(kind for kind in of.kinds if kind.weight and kind.service in ("", service))
    return attrs.evolve(of, services=(of.service(service),), kinds=kinds) if kinds else None
