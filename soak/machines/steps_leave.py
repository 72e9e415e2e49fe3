"""Steps in which nodes are killed, and servers leave, fail or are replaced where they are."""

import asyncio
import signal

from soak.machines import machine, scene, server_faults


async def kill(on: scene.Scene, number: int, values: dict) -> None:
    """Kills the node of machine `number` and starts the next after a pause."""
    await _kill([on.find_machine(number)], values["pause"])


async def kill_all(on: scene.Scene, number: int, values: dict) -> None:
    """Kills all nodes at once and starts the next ones after a pause."""
    await _kill(on.machines, values["pause"])


async def _kill(items: list[machine.Machine], pause_s: float) -> None:
    chosen = [item for item in items if not item.replaces]
    for item in chosen:
        item.replaces = True
        item.send(item.process, signal.SIGKILL)
    for item in chosen:
        await item.process.popen.wait()
    await asyncio.sleep(pause_s)
    for item in chosen:
        await item.start()


async def leave(on: scene.Scene, number: int, values: dict) -> None:
    """A server leaves; its address goes to a server of a drawn service, with a new node."""
    item = on.find_machine(number)
    if item.replaces or item.server.ended:
        return
    item.replaces = True
    process, leaving = item.process, item.server
    left = asyncio.create_task(leaving.leave(values["late"], values["more"], values["says"]))
    if values["node"] == "killed early":
        await asyncio.sleep(values["early"])
        item.send(process, signal.SIGKILL)
        await process.popen.wait()
        process = await item.start()
        item.replaces = True
    await left
    if values["node"] == "stays":
        await asyncio.sleep(values["pause"])
        item.replaces = False
        await on.start_server(item)
        return
    item.send(process, signal.SIGTERM)
    await item.end(process)
    await asyncio.sleep(values["pause"])
    if any(other.service == item.service for other in on.machines if other is not item):
        item.service = on.draw_service(values["service"])
    await on.start_node(item)


async def disturb_server(on: scene.Scene, number: int, values: dict) -> None:
    """A server has a fault while its node stops, or a node that asks it."""
    item = on.find_machine(number)
    other = on.find_server(item, values["service"])
    stopping = {"own": (item,), "asking": (other,), "both": (item, other)}[values["stops"]]
    stops = [asyncio.create_task(on.stop(node, values["stop"])) for node in stopping]
    await asyncio.sleep(values["after"])
    if values["fault"] == server_faults.REPLACED:
        await _replace_server(on, item, values["for"])
    else:
        faults = item.server.faults
        await server_faults.put_in_force(faults, values["fault"], values["share"], values["for"])
    await asyncio.gather(*stops)


async def _replace_server(on: scene.Scene, item: machine.Machine, pause_s: float) -> None:
    """A server crashes, and the next one starts at its address."""
    if item.server.ended:
        return
    item.server.end()
    await asyncio.sleep(pause_s)
    if item.server.ended:
        await on.start_server(item)
