"""Cost and spread of the replicated control state, by size of the fleet.

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
from bergamotridge.store import client, position

COST_PROCESSES = 10
COST_RECORD_COUNTS = (20, 80, 160, 315, 630)
COST_DURATION_S = 12.0
BURST_DURATION_S = 15.0
LOAD_CHANGE_INTERVAL_S = 10.0
SPREAD_PROCESSES = 8
SPREAD_FLEET_SIZES = (16, 48, 96, 160)
SPREAD_REPEATS = 5
FRAMING_WARM_UP_MESSAGES = 20
FRAMING_MESSAGES = 200
FRAMING_TIMEOUT_S = 5.0
KEY_COUNT = 10_000
KEY_CHECKS = 100_000
PLATFORM_FLEET_SIZES = (160, 315, 630)
PLATFORM_RESTARTS = 220
SETTLE_TIMEOUT_S = 60.0
CONFIGURATION_TEXT = "[services.booking]\n" + "".join(
    f'[services.service-{n}]\n[routes.route-{n}]\npath = "/{n}"\nservice = "service-{n}"\n'
    for n in range(24)
)


def _wait_for_members(processes: list[control_node.Process], members: int) -> None:
    until = time.monotonic() + SETTLE_TIMEOUT_S
    while any(process.run_command("usage").members < members for process in processes):
        if time.monotonic() > until:
            raise TimeoutError(f"a node did not know all {members} members in time")
        time.sleep(0.5)


def _start(
    nodes: int, processes: int, records: int = 0, load_change_interval_s: float = 0.0
) -> list[control_node.Process]:
    addresses = control_node.free_addresses(nodes)
    nodes_per_process, started = nodes // processes, []
    ghosts = [f"{control_node.GHOST_PREFIX}-{n:04d}" for n in range(max(0, records - nodes))]
    for number in range(processes):
        layout = control_node.Layout(
            first_number=number * nodes_per_process,
            addresses=tuple(
                addresses[number * nodes_per_process : (number + 1) * nodes_per_process]
            ),
            seed_addresses=tuple(addresses[:3]),
            ghosts=tuple(ghosts[number::processes]),
            load_change_interval_s=load_change_interval_s,
        )
        started.append(control_node.Process(layout))
    return started


def _end(processes: list[control_node.Process]) -> None:
    for process in processes:
        process.end()


def _print_cost(records: int, load_change_interval_s: float) -> None:
    processes = _start(COST_PROCESSES, COST_PROCESSES, records, load_change_interval_s)
    try:
        _wait_for_members(processes, records)
        time.sleep(2.0)
        usage_before, started_at = [
            process.run_command("usage") for process in processes
        ], time.monotonic()
        time.sleep(COST_DURATION_S)
        usage_after, elapsed_s = [
            process.run_command("usage") for process in processes
        ], time.monotonic() - started_at
    finally:
        _end(processes)

    def rate(name: str) -> float:
        first = sum(getattr(item, name) for item in usage_before)
        return (
            (sum(getattr(item, name) for item in usage_after) - first) / elapsed_s / COST_PROCESSES
        )

    memory_mb = max(item.memory_mb for item in usage_after)
    kind = (
        f"each load changes every {load_change_interval_s:g} s"
        if load_change_interval_s
        else "quiet"
    )
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
    for load_change_interval_s in (0.0, LOAD_CHANGE_INTERVAL_S):
        for records in COST_RECORD_COUNTS:
            _print_cost(records, load_change_interval_s)


@attrs.frozen
class _SpreadTimes:
    """Delays with which one change reached the nodes.

    Attributes:
        last_s: Seconds until the change had reached every node.
        median_s: Seconds until the change had reached the median node.
    """

    last_s: float
    median_s: float


def _wait_for_change(
    processes: list[control_node.Process], change: str, started_at: float
) -> _SpreadTimes:
    until = time.monotonic() + SETTLE_TIMEOUT_S
    while True:
        found = [at for process in processes for at in process.run_command("arrivals", change)]
        if None not in found:
            delays = sorted(at - started_at for at in found)
            return _SpreadTimes(delays[-1], delays[len(delays) // 2])
        if time.monotonic() > until:
            raise TimeoutError(f"'{change}' did not reach every node")
        time.sleep(0.2)


def _measure_spread(processes: list[control_node.Process], repeat: int) -> dict[str, _SpreadTimes]:
    origin = processes[repeat % len(processes)]
    found = {}
    started_at = origin.run_command("configure", repeat + 1, CONFIGURATION_TEXT)
    found["configuration"] = _wait_for_change(processes, f"configuration {repeat + 1}", started_at)
    started_at = origin.run_command("withdraw", f"key-{repeat}")
    found["withdrawn key"] = _wait_for_change(processes, f"withdrawn key-{repeat}", started_at)
    started_at, host = origin.run_command("drain")
    found["drain"] = _wait_for_change(processes, f"drain {host}", started_at)
    return found


def measure_spread() -> None:
    """Prints how long a change takes to reach every node, for several sizes of the fleet."""
    print(f"spread of news, {SPREAD_PROCESSES} processes of several nodes, {SPREAD_REPEATS} times")
    for nodes in SPREAD_FLEET_SIZES:
        processes = _start(nodes, SPREAD_PROCESSES)
        try:
            _wait_for_members(processes, nodes)
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
    """Prints bytes and processor time of a node when all hosts are replaced at once."""
    processes = _start(COST_PROCESSES, COST_PROCESSES, COST_RECORD_COUNTS[-1])
    try:
        _wait_for_members(processes, COST_RECORD_COUNTS[-1])
        time.sleep(2.0)
        usage_before = [process.run_command("usage") for process in processes]
        for process in processes:
            process.run_command("restart ghosts")
        time.sleep(BURST_DURATION_S)
        usage_after = [process.run_command("usage") for process in processes]
    finally:
        _end(processes)
    pairs = list(zip(usage_before, usage_after, strict=True))
    sent = sum(last.sent_bytes - first.sent_bytes for first, last in pairs)
    received = sum(last.received_bytes - first.received_bytes for first, last in pairs)
    used = sum(last.cpu_s - first.cpu_s for first, last in pairs)
    print(
        f"{COST_RECORD_COUNTS[-1]} records replaced at once, {BURST_DURATION_S:g} s: per node sent "
        f"{sent / COST_PROCESSES / 1000:.0f} KB, received {received / COST_PROCESSES / 1000:.0f} "
        f"KB, processor {used / COST_PROCESSES:.2f} s",
        flush=True,
    )


def measure_framing() -> None:
    """Prints the bytes that gRPC and HTTP/2 add to one message."""
    address, _ = control_node.free_addresses(2)
    process = control_node.Process(control_node.Layout(0, (address,), ()))
    process.run_command("usage")
    relay, pool = counting_relay.CountingRelay(address), control.ChannelPool(control_node.SECRET)
    stub = gossip_pb2_grpc.GossipStub(pool.channel(relay.address))
    message = gossip_pb2.GossipMessage(host="node-0001", session=1)
    for _ in range(FRAMING_WARM_UP_MESSAGES):
        stub.Exchange(message, timeout=FRAMING_TIMEOUT_S)
    bytes_before = relay.carried_bytes
    answers = [stub.Exchange(message, timeout=FRAMING_TIMEOUT_S) for _ in range(FRAMING_MESSAGES)]
    carried = relay.carried_bytes - bytes_before
    payload = sum(answer.ByteSize() + message.ByteSize() for answer in answers)
    added = (carried - payload) / FRAMING_MESSAGES / 2
    print(f"framing: gRPC and HTTP/2 add {added:.0f} bytes to a message", flush=True)
    process.end()


class _RecordingPlatform:
    """Platform client that stores the granted keys in a list."""

    def __init__(self) -> None:
        self.items: list[client.StoredObject] = []

    def put(
        self, kind: str, name: str, value: dict, version: position.Position
    ) -> position.Position:
        """Stores an object and returns its version."""
        written = position.Position(0, len(self.items) + 1)
        self.items.append(client.StoredObject(kind, name, written, dict(value)))
        return written


def measure_keys() -> None:
    """Prints the memory that a key takes in the key ring and the time of one check."""
    recorder, ring = _RecordingPlatform(), keys.KeyRing(control_node.SECRET)
    granted = [keys.grant(recorder, control_node.SECRET, "team") for _ in range(KEY_COUNT)]
    tracemalloc.start()
    # Encodes and decodes the keys: the strings of a real answer belong to the key ring alone, so
    # their memory counts.
    encoded = orjson.dumps([attrs.asdict(item) for item in recorder.items])
    items = tuple(
        client.StoredObject(**{**item, "version": position.Position(**item["version"])})
        for item in orjson.loads(encoded)
    )
    del encoded
    ring.apply_listing(client.Listing(items, position.Position(0, KEY_COUNT)))
    del items
    bytes_per_key = tracemalloc.get_traced_memory()[0] / KEY_COUNT
    tracemalloc.stop()
    header, started_at = f"Bearer {granted[0].secret_text}", time.perf_counter()
    for _ in range(KEY_CHECKS):
        ring.check(header, 0.0)
    check_us = (time.perf_counter() - started_at) / KEY_CHECKS * 1e6
    print(f"keys: {bytes_per_key:.0f} bytes for each of {KEY_COUNT}, one check {check_us:.1f} us")


def measure_platform() -> None:
    """Prints the requests per second that whole fleets send to the platform."""
    print(
        f"load on the platform, {platform_load.WATCHERS_PER_DOMAIN} nodes per failure domain watch"
    )
    for fleet_size in PLATFORM_FLEET_SIZES:
        platform_load.measure(fleet_size, False, PLATFORM_RESTARTS)
    print("the same if every node watches")
    platform_load.measure(PLATFORM_FLEET_SIZES[0], True, 0)


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
