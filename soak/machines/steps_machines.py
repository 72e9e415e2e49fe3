"""Steps in which machines come and go: servers released, scaled, and crashed for good."""

import asyncio
import random
import signal

from soak.machines import beside, client, machine, scene

READY_S = 5.0
ADDRESS_REUSE_S = 2.0
CLIENTS_S = 6.0
MOST_TIMES = 2  # As many machines as at the start.
DRAINS, GOES, NODE_FIRST, KILLED = "drains", "goes", "node first", "killed"
CRASHES, GOES_DARK = "crashes", "goes dark"


def draw_release(rng: random.Random, stops: dict) -> dict:
    """Draws how many servers are replaced one after the other, and how the old ones go."""
    return beside.draw(rng, stops) | {"servers": rng.choice((1, 1, 2)), "go": _draw_going(rng)}


def draw_scale(rng: random.Random, stops: dict) -> dict:
    """Draws whether servers are added or taken away with their machines, and how many."""
    return beside.draw(rng, stops) | {
        "out": rng.random() < 0.5,
        "servers": rng.choice((1, 1, 2)),
        "between": round(rng.uniform(0.0, 1.0), 3),
        "go": _draw_going(rng),
    }


def draw_reuse(rng: random.Random, stops: dict) -> dict:
    """Draws how a server crashes for good, and what becomes of its node and its address."""
    return beside.draw(rng, stops) | {
        "how": rng.choice((CRASHES, CRASHES, GOES_DARK)),
        "node": rng.choice(("killed too", "stops", "stops")),
        "node after": round(rng.uniform(0.0, 1.5), 3),
        "reused after": round(rng.uniform(0.0, 2.0), 3),
        "service": rng.random(),
    }


def _draw_going(rng: random.Random) -> dict:
    return {
        "how": rng.choice((DRAINS, DRAINS, DRAINS, GOES, NODE_FIRST, KILLED)),
        "late": round(rng.uniform(0.2, 2.0), 3) if rng.random() < 0.3 else 0.0,
        "more": round(rng.uniform(0.0, 2.0), 3),
        "says": rng.random() < 0.7,
    }


async def release(on: scene.Scene, number: int, values: dict) -> None:
    """Replaces servers of the service of machine `number`: each new one starts first."""
    service = on.find_machine(number).service

    async def replace() -> None:
        for old in _list_serving(on, service)[: values["servers"]]:
            await _add(on, service)
            await _remove(on, old, values["go"])

    await beside.play(on, number, values, replace)


async def scale(on: scene.Scene, number: int, values: dict) -> None:
    """Adds servers of the service of machine `number`, or takes some away."""
    service = on.find_machine(number).service

    async def change() -> None:
        changes = []
        for _ in range(values["servers"]):
            if values["out"]:
                changes.append(asyncio.create_task(_add(on, service)))
            else:
                serving = _list_serving(on, service)
                chosen = serving[-1:] if len(serving) > 1 else []
                changes += [asyncio.create_task(_remove(on, old, values["go"])) for old in chosen]
            await asyncio.sleep(values["between"])
        await asyncio.gather(*changes)

    await beside.play(on, number, values, change)


async def reuse(on: scene.Scene, number: int, values: dict) -> None:
    """A server crashes for good; its address goes to a node and a server of another service."""

    async def crash() -> None:
        await _crash(on, on.find_machine(number), values)

    await beside.play(on, number, values, crash)


def _list_serving(on: scene.Scene, service: str) -> list[machine.Machine]:
    """Returns the machines with a server of a service whose nodes no scenario stops."""
    of_service = [item for item in on.machines if item.service == service]
    return [item for item in of_service if not (item.replaces or item.gone or item.server.ended)]


async def _add(on: scene.Scene, service: str) -> None:
    """Adds a machine with its clients, and waits until its node is ready."""
    if len(on.machines) >= MOST_TIMES * on.size:
        return
    item = await on.add_machine(service)
    deadline = on.rows.now() + READY_S
    while on.rows.now() < deadline and not await item.is_ready():
        await asyncio.sleep(0.1)
    for index, style in enumerate(client.STYLES[: on.shape.clients]):
        on.send_by(item.number, style, f"new {item.number} {index}", on.shape, CLIENTS_S)


async def _remove(on: scene.Scene, item: machine.Machine, values: dict) -> None:
    """Takes a machine away for good, unless its server is the last of its service."""
    others = [other for other in _list_serving(on, item.service) if other is not item]
    if item.replaces or item.server.ended or not others:
        return
    item.replaces = True
    process = item.process
    if values["how"] == DRAINS:
        await item.server.leave(values["late"], values["more"], values["says"])
    elif values["how"] != NODE_FIRST:
        item.server.end()
    item.send(process, signal.SIGKILL if values["how"] == KILLED else signal.SIGTERM)
    await item.end(process)
    if not item.server.ended:
        item.server.end()
    item.gone = True
    on.rows.happen("machine leaves", item.number)


async def _crash(on: scene.Scene, item: machine.Machine, values: dict) -> None:
    if item.server.ended or item not in (serving := _list_serving(on, item.service)):
        return
    item.replaces = True
    process, crashed, at = item.process, item.server, on.rows.now()
    if values["how"] == CRASHES:
        crashed.end()
    else:
        crashed.go_dark()
    if values["node"] != "killed too":
        await asyncio.sleep(values["node after"])
    item.send(process, signal.SIGKILL if values["node"] == "killed too" else signal.SIGTERM)
    await item.end(process)
    free_s = at + ADDRESS_REUSE_S + values["reused after"] - on.rows.now()
    await asyncio.sleep(max(0.0, free_s))
    if values["how"] == GOES_DARK:
        crashed.end()
    if len(serving) > 1:
        item.service = on.draw_service(values["service"])
    await on.start_node(item)
