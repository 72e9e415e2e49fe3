"""Latency that one and two nodes add to a call, against direct calls and a bare relay.

Every server is a process of its own, on loopback, with kept-alive connections. One closed-loop
client measures the paths in turn, in rounds, so that drift of the machine hits all alike.
"""

import pathlib
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence

import attrs
from hdrh import histogram

from bergamotridge.util import http_client, loop, message
from standins import client, fleet, processes

LOOP = loop.Loop("bench")
ROUNDS = 10
CALLS_PER_ROUND = 400
WARM_UP_CALLS = 300
HIGHEST_US = 10_000_000
DIGITS = 3
TARGET_ADDED_MS = 0.49
TARGET_RATIO = 1.5
BODY_LIMIT = 1 << 20
TARGET = "/echo"
TEAM = "bench"
TEXT = """
[services.echo]
[services.other]
[routes.echo]
path = "/echo"
service = "echo"
repeatable = true
[teams.bench]
rate = 1000000
burst = 1000000
"""
HOSTS = (
    fleet.Host("far", "fd1", "echo", service_ms=0.0),
    fleet.Host("near", "fd1", "other", service_ms=0.0),
)

PATHS_THROUGH = {"far": 2, "near": 1}
CPU_METRIC = "bergamotridge_cpu_seconds"
MEMORY_METRIC = "bergamotridge_resident_memory_bytes"


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_US, DIGITS)


@attrs.define
class Path:
    """One way to the upstream and its measured latencies, a histogram in us for each round."""

    name: str
    address: str
    headers: list[message.Header]
    rounds: list[histogram.HdrHistogram] = attrs.field(factory=list)

    def percentiles_ms(self, percentile: float) -> list[float]:
        """Returns a percentile of each round in milliseconds."""
        return [one.get_value_at_percentile(percentile) / 1000 for one in self.rounds]


@attrs.frozen
class NodeCost:
    """What one node used for the measured calls.

    Attributes:
        name: Host of the node.
        calls: Measured calls that passed it.
        cpu_s: Processor time in seconds between the first and the last of them.
        resident_bytes: Resident memory at the end.
    """

    name: str
    calls: int
    cpu_s: float
    resident_bytes: float


async def _measure(path: Path, pool: http_client.Pool, calls: int) -> histogram.HdrHistogram:
    request = message.Request(b"GET", TARGET.encode(), path.headers)
    latencies = _histogram()
    for _ in range(calls):
        started = time.perf_counter_ns()
        response = await pool.send(request, 5.0)
        elapsed_us = (time.perf_counter_ns() - started) // 1000
        if response.status != 200:
            raise RuntimeError(f"{path.name}: status {response.status}: {response.body!r}")
        latencies.record_value(max(1, elapsed_us))
    return latencies


def _spread(values: Sequence[float]) -> str:
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def _table(paths: Sequence[Path], costs: Sequence[NodeCost]) -> str:
    direct, relay = paths[0], paths[1]
    lines = [
        "Median over the rounds, and range; added and ratio are of the same round.",
        "",
        "| path | p50 ms | p99 ms | added at p99, ms | p99 over bare relay |",
        "|---|---|---|---|---|",
    ]
    for path in paths:
        p99s = path.percentiles_ms(99)
        added = [one - other for one, other in zip(p99s, direct.percentiles_ms(99), strict=True)]
        ratio = [one / other for one, other in zip(p99s, relay.percentiles_ms(99), strict=True)]
        cells = (path.percentiles_ms(50), p99s, added, ratio)
        lines.append(f"| {path.name} | {' | '.join(_spread(cell) for cell in cells)} |")
    lines.append("")
    for cost in costs:
        lines.append(
            f"node {cost.name}: {cost.cpu_s / cost.calls * 1e3:.2f} ms of processor time per call "
            f"(control included), {cost.resident_bytes / 1e6:.0f} MB resident"
        )
    lines.append(f"Targets: one node adds at most {TARGET_ADDED_MS} ms at p99,")
    lines.append(f"and its p99 is at most {TARGET_RATIO} times that of the bare relay.")
    return "\n".join(lines)


def _paths(running: fleet.Fleet) -> list[Path]:
    upstream = running.addresses("far").server
    relay = processes.Ports().take()
    running.launch("relay", "bench.bare_relay", f"--address={relay}", f"--upstream={upstream}")
    key = running.grant(TEAM)
    running.wait_ready()
    authorization = [(b"authorization", b"Bearer " + key.secret.encode())]
    paths = [
        Path("direct", upstream, []),
        Path("bare relay", relay, []),
        Path("one node", running.addresses("far").callers, authorization),
        Path("two nodes", running.addresses("near").callers, authorization),
    ]
    for path in paths:
        processes.wait_until(lambda path=path: answers(path), f"{path.name} answers")
    return paths


def answers(path: Path) -> bool:
    """Returns True if a call by a path ends well."""
    request = message.Request(b"GET", TARGET.encode(), path.headers)
    try:
        return http_client.send_once(path.address, request, 1.0, BODY_LIMIT).status == 200
    except http_client.TransferError:
        return False


def metric(running: fleet.Fleet, host: str, name: str) -> float:
    """Returns the first sample of a metric of the node on `host`."""
    page = client.ask(running.addresses(host).operators, "GET", "/metrics").body.decode()
    lines = (line.split() for line in page.splitlines())
    return next(float(words[-1]) for words in lines if words and words[0].startswith(name))


def _run(directory: pathlib.Path) -> tuple[list[Path], list[NodeCost]]:
    with fleet.Fleet(directory, HOSTS, TEXT) as running:
        paths = _paths(running)
        pools = [http_client.Pool(path.address, BODY_LIMIT) for path in paths]
        for path, pool in zip(paths, pools, strict=True):
            LOOP.run(_measure(path, pool, WARM_UP_CALLS))
        before = {host.name: metric(running, host.name, CPU_METRIC) for host in HOSTS}
        for _ in range(ROUNDS):
            for path, pool in zip(paths, pools, strict=True):
                path.rounds.append(LOOP.run(_measure(path, pool, CALLS_PER_ROUND)))
        costs = [
            NodeCost(
                name,
                ROUNDS * CALLS_PER_ROUND * PATHS_THROUGH[name],
                metric(running, name, CPU_METRIC) - spent,
                metric(running, name, MEMORY_METRIC),
            )
            for name, spent in before.items()
        ]
    return paths, costs


def main(arguments: Sequence[str] = ()) -> int:
    """Measures all paths in one run and prints the table; returns the exit code."""
    del arguments
    with tempfile.TemporaryDirectory() as directory:
        paths, costs = _run(pathlib.Path(directory))
    print(_table(paths, costs))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
