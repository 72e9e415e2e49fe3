"""Clients send bodies that the operator's limits allow, and a node exceeds its memory."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import fleet as fleets  # noqa: E402

MEMORY_KB = 300 * 1024  # `limits.memory_mb` of the settings.
TIMES, MACHINES = 3, 2
CLIENTS = 6  # That send at the same time to one machine.
LARGE_BYTES, SMALL_BYTES = 60 << 20, 64 << 10  # `max_body_bytes` is 64 << 20.
RESTART_AFTER_S = 0.5


async def scenario(fleet: fleets.Fleet, trouble: bool) -> str:
    """Returns what broke the rule on processes that end by themselves, "" if it held."""
    routes = [("book.example", "/book/", "desk", "unsafe", True)]
    await fleet.start(["desk"] * 3, fleets.make_config("r3", routes, ["desk"]))
    size = LARGE_BYTES if trouble else SMALL_BYTES
    ends = await asyncio.gather(*(press(fleet, node, size) for node in fleet.nodes[:MACHINES]))
    print(f"ends for memory, by machine: {ends}")
    return "Fault: processes went over their memory" if min(ends) >= TIMES else ""


async def press(fleet: fleets.Fleet, node: fleets.Node, size: int) -> int:
    """Sends large bodies to a node several times; returns how often it went over its memory."""
    ends = 0
    for _ in range(TIMES):
        client = fleets.Client(fleet.record, node)
        sends = [
            asyncio.create_task(
                client.send("book.example", "/book/1", method="POST", body=bytes(size))
            )
            for _ in range(CLIENTS)
        ]
        peak_kb, killed = 0, False
        while not killed and not all(item.done() for item in sends):
            peak_kb = max(peak_kb, resident_kb(node))
            if peak_kb > MEMORY_KB:
                fleet.record.add("over its memory", node=node.name, resident_kb=peak_kb)
                node.send(signal.SIGKILL)  # What the platform does to it.
                node.process.wait()
                killed = True
            await asyncio.sleep(0.01)
        await asyncio.gather(*sends)
        fleet.record.add("peak", node=node.name, resident_kb=peak_kb)
        print(f"{node.name}: {peak_kb} kB at most, {MEMORY_KB} kB allowed")
        if killed:
            ends += 1
            await asyncio.sleep(RESTART_AFTER_S)
            node.start()
            await node.wait_ready()
            await asyncio.sleep(fleets.CONTACT_S)
    return ends


def resident_kb(node: fleets.Node) -> int:
    """Returns the resident memory of a node's process."""
    text = pathlib.Path(f"/proc/{node.process.pid}/status").read_text(encoding="ascii")
    return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmRSS"))


if __name__ == "__main__":
    fleets.run_case(str(HERE), ("noord", "oost", "zuid"), scenario)
