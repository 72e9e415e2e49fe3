"""Cost and speed of the control state against the size of the fleet.

Run ``python -m bench.membership [PART ...]`` with any of cost, burst, framing, keys, spread and
platform; all of them by default.
"""

import sys
import time
import tracemalloc

import attrs
import orjson

from bench import control_node, counting_relay, platform_load
from bergamotridge.callers import keys
from bergamotridge.nodes import control, gossip_pb2, gossip_pb2_grpc
from bergamotridge.store import client

COST_PROCESSES = 10
COST_RECORDS = (20, 80, 160, 315, 630)
COST_SECONDS = 12.0
BURST_SECONDS = 15.0
LOAD_CHANGES_S = 10.0
SPREAD_PROCESSES = 8
SPREAD_NODES = (16, 48, 96, 160)
SPREAD_REPEATS = 5
FRAMING_WARM_UP = 20
FRAMING_MESSAGES = 200
FRAMING_TIMEOUT_S = 5.0
KEYS = 10_000
KEY_CHECKS = 100_000
PLATFORM_FLEETS = (160, 315, 630)
PLATFORM_RESTARTS = 220
SETTLE_TIMEOUT_S = 60.0
TEXT = "[services.booking]\n" + "".join(
    f'[services.service-{n}]\n[routes.route-{n}]\npath = "/{n}"\nservice = "service-{n}"\n'
    for n in range(24)
)


def _settle(processes: list[control_node.Process], members: int) -> None:
    until = time.monotonic() + SETTLE_TIMEOUT_S
    while any(process.ask("usage").members < members for process in processes):
        if time.monotonic() > until:
            raise TimeoutError(f"the fleet did not find its {members} members")
        time.sleep(0.5)


def _start(
    nodes: int, processes: int, records: int = 0, load_changes_s: float = 0.0
) -> list[control_node.Process]:
    addresses = control_node.free_addresses(nodes)
    share, started = nodes // processes, []
    ghosts = [f"{control_node.GHOST_PREFIX}-{n:04d}" for n in range(max(0, records - nodes))]
    for number in range(processes):
        layout = control_node.Layout(
            first_number=number * share,
            addresses=tuple(addresses[number * share : (number + 1) * share]),
            first=tuple(addresses[:3]),
            ghosts=tuple(ghosts[number::processes]),
            load_changes_s=load_changes_s,
        )
        started.append(control_node.Process(layout))
    return started


def _end(processes: list[control_node.Process]) -> None:
    for process in processes:
        process.end()


def _cost_of(records: int, load_changes_s: float) -> None:
    processes = _start(COST_PROCESSES, COST_PROCESSES, records, load_changes_s)
    try:
        _settle(processes, records)
        time.sleep(2.0)
        before, began = [process.ask("usage") for process in processes], time.monotonic()
        time.sleep(COST_SECONDS)
        after, seconds = [process.ask("usage") for process in processes], time.monotonic() - began
    finally:
        _end(processes)

    def rate(name: str) -> float:
        first = sum(getattr(item, name) for item in before)
        return (sum(getattr(item, name) for item in after) - first) / seconds / COST_PROCESSES

    memory_mb = max(item.memory_mb for item in after)
    kind = f"each load changes every {load_changes_s:g} s" if load_changes_s else "quiet"
    print(
        f"{records:5d} records, {kind}: messages/s {rate('messages'):.1f}, "
        f"sent {rate('sent_bytes') / 1000:.2f} KB/s, "
        f"received {rate('received_bytes') / 1000:.2f} KB/s, "
        f"processor {rate('cpu_s') * 100:.2f}%, memory {memory_mb:.0f} MB",
        flush=True,
    )


def measure_cost() -> None:
    """Prints bytes, processor time and memory of a node for several numbers of records."""
    print(f"cost per node, {COST_PROCESSES} processes, other hosts as records only")
    for load_changes_s in (0.0, LOAD_CHANGES_S):
        for records in COST_RECORDS:
            _cost_of(records, load_changes_s)


@attrs.frozen
class _Spread:
    """Seconds until news had reached every node, and the median node."""

    last_s: float
    median_s: float


def _spread(processes: list[control_node.Process], news: str, began: float) -> _Spread:
    until = time.monotonic() + SETTLE_TIMEOUT_S
    while True:
        found = [at for process in processes for at in process.ask("arrivals", news)]
        if None not in found:
            delays = sorted(at - began for at in found)
            return _Spread(delays[-1], delays[len(delays) // 2])
        if time.monotonic() > until:
            raise TimeoutError(f"'{news}' did not reach every node")
        time.sleep(0.2)


def _measure_spread(processes: list[control_node.Process], repeat: int) -> dict[str, _Spread]:
    origin = processes[repeat % len(processes)]
    found = {}
    began = origin.ask("configure", repeat + 1, TEXT)
    found["configuration"] = _spread(processes, f"configuration {repeat + 1}", began)
    began = origin.ask("withdraw", f"key-{repeat}")
    found["withdrawn key"] = _spread(processes, f"withdrawn key-{repeat}", began)
    began, host = origin.ask("drain")
    found["drain"] = _spread(processes, f"drain {host}", began)
    return found


def measure_spread() -> None:
    """Prints how long news takes to reach every node for several sizes of the fleet."""
    print(f"spread of news, {SPREAD_PROCESSES} processes of several nodes, {SPREAD_REPEATS} times")
    for nodes in SPREAD_NODES:
        processes = _start(nodes, SPREAD_PROCESSES)
        try:
            _settle(processes, nodes)
            results = [_measure_spread(processes, repeat) for repeat in range(SPREAD_REPEATS)]
        finally:
            _end(processes)
        for kind in results[0]:
            worst = max(result[kind].last_s for result in results)
            median = sorted(result[kind].median_s for result in results)[SPREAD_REPEATS // 2]
            print(
                f"{nodes:4d} nodes, {kind}: all after {worst:.2f} s at worst, "
                f"median node {median:.2f} s",
                flush=True,
            )


def measure_burst() -> None:
    """Prints what all hosts replaced at once cost each node."""
    processes = _start(COST_PROCESSES, COST_PROCESSES, COST_RECORDS[-1])
    try:
        _settle(processes, COST_RECORDS[-1])
        time.sleep(2.0)
        before = [process.ask("usage") for process in processes]
        for process in processes:
            process.ask("restart ghosts")
        time.sleep(BURST_SECONDS)
        after = [process.ask("usage") for process in processes]
    finally:
        _end(processes)
    pairs = list(zip(before, after, strict=True))
    sent = sum(last.sent_bytes - first.sent_bytes for first, last in pairs)
    received = sum(last.received_bytes - first.received_bytes for first, last in pairs)
    used = sum(last.cpu_s - first.cpu_s for first, last in pairs)
    print(
        f"{COST_RECORDS[-1]} records replaced at once, {BURST_SECONDS:g} s: per node sent "
        f"{sent / COST_PROCESSES / 1000:.0f} KB, received {received / COST_PROCESSES / 1000:.0f} "
        f"KB, processor {used / COST_PROCESSES:.2f} s",
        flush=True,
    )


def measure_framing() -> None:
    """Prints the bytes that gRPC and HTTP/2 add to one message."""
    address, _ = control_node.free_addresses(2)
    process = control_node.Process(control_node.Layout(0, (address,), ()))
    process.ask("usage")
    relay, pool = counting_relay.CountingRelay(address), control.ChannelPool(control_node.SECRET)
    stub = gossip_pb2_grpc.GossipStub(pool.channel(relay.address))
    message = gossip_pb2.GossipMessage(host="node-0001", session=1)
    for _ in range(FRAMING_WARM_UP):
        stub.Exchange(message, timeout=FRAMING_TIMEOUT_S)
    before = relay.carried_bytes
    answers = [stub.Exchange(message, timeout=FRAMING_TIMEOUT_S) for _ in range(FRAMING_MESSAGES)]
    carried = relay.carried_bytes - before
    payload = sum(answer.ByteSize() + message.ByteSize() for answer in answers)
    added = (carried - payload) / FRAMING_MESSAGES / 2
    print(f"framing: gRPC and HTTP/2 add {added:.0f} bytes to a message", flush=True)
    process.end()


class _Recorder:
    """Takes the platform's place while keys are granted."""

    def __init__(self) -> None:
        self.items: list[client.StoredObject] = []

    def put(self, kind: str, name: str, value: dict, version: int) -> int:
        """Keeps an object and returns its version."""
        self.items.append(client.StoredObject(kind, name, len(self.items) + 1, dict(value)))
        return len(self.items)


def measure_keys() -> None:
    """Prints the memory of a key and the time of a check."""
    recorder, ring = _Recorder(), keys.KeyRing(control_node.SECRET)
    granted = [keys.grant(recorder, control_node.SECRET, "team") for _ in range(KEYS)]
    tracemalloc.start()
    # A copy, as the texts of an answer from the platform would be the ring's own.
    encoded = orjson.dumps([attrs.asdict(item) for item in recorder.items])
    items = tuple(client.StoredObject(**item) for item in orjson.loads(encoded))
    del encoded
    ring.apply_listing(client.Listing(items, KEYS))
    del items
    bytes_per_key = tracemalloc.get_traced_memory()[0] / KEYS
    tracemalloc.stop()
    header, began = f"Bearer {granted[0].secret_text}", time.perf_counter()
    for _ in range(KEY_CHECKS):
        ring.check(header, 0.0)
    check_us = (time.perf_counter() - began) / KEY_CHECKS * 1e6
    print(f"keys: {bytes_per_key:.0f} bytes for each of {KEYS}, one check {check_us:.1f} us")


def measure_platform() -> None:
    """Prints the requests of whole fleets to the platform."""
    print(f"load on the platform, {platform_load.PLACES} nodes per failure domain watch")
    for fleet in PLATFORM_FLEETS:
        platform_load.measure(fleet, False, PLATFORM_RESTARTS)
    print("the same if every node watches")
    platform_load.measure(PLATFORM_FLEETS[0], True, 0)


def main(argv: list[str]) -> int:
    """Runs the named parts and returns the exit code."""
    parts = {
        "cost": measure_cost,
        "burst": measure_burst,
        "framing": measure_framing,
        "keys": measure_keys,
        "spread": measure_spread,
        "platform": measure_platform,
    }
    for name in argv or list(parts):
        parts[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
