"""Latency that one and two nodes add to a call, against direct calls and a bare relay.

Every server is a process of its own, on loopback, with kept-alive connections. One closed-loop
client measures the paths in turn, in rounds, so that changes in the machine's speed affect all
paths alike.
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
HIGHEST_LATENCY_US = 10_000_000
SIGNIFICANT_DIGITS = 3
TARGET_ADDED_MS = 0.49  # At p99, by one node.
TARGET_P99_RATIO = 1.5  # The p99 through one node over that of the bare relay.
BODY_LIMIT_BYTES = 1 << 20
REQUEST_TARGET = "/echo"
TEAM = "bench"
CONFIGURATION_TEXT = """
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
# Service "echo" runs on host "far" only, so calls to the node on "near" pass through both nodes.
HOSTS = (
    fleet.Host("far", "fd1", "echo", service_ms=0.0),
    fleet.Host("near", "fd1", "other", service_ms=0.0),
)

# Number of measured paths that lead through the node on each host.
PATH_COUNT_THROUGH_NODE = {"far": 2, "near": 1}
CPU_METRIC = "bergamotridge_cpu_seconds"
MEMORY_METRIC = "bergamotridge_resident_memory_bytes"


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.define
class Path:
    """One path to the upstream and its measured latencies.

    Attributes:
        name: Name in the table.
        address: IP:PORT to call.
        headers: Headers of each call.
        rounds: Histogram of latencies in microseconds for each round.
    """

    name: str
    address: str
    headers: list[message.Header]
    rounds: list[histogram.HdrHistogram] = attrs.field(factory=list)

    def percentiles_ms(self, percentile: float) -> list[float]:
        """Returns a percentile (0 to 100) of each round in milliseconds."""
        return [item.get_value_at_percentile(percentile) / 1000 for item in self.rounds]


@attrs.frozen
class NodeCost:
    """Processor time and memory that one node used for the measured calls.

    Attributes:
        name: Host of the node.
        calls: Number of measured calls that the node relayed.
        cpu_s: Processor time in seconds between the first and the last of them.
        resident_bytes: Resident memory in bytes at the end.
    """

    name: str
    calls: int
    cpu_s: float
    resident_bytes: float


async def _measure(path: Path, pool: http_client.Pool, calls: int) -> histogram.HdrHistogram:
    request = message.Request(b"GET", REQUEST_TARGET.encode(), path.headers)
    latencies = _new_histogram()
    for _ in range(calls):
        started = time.perf_counter_ns()
        response = await pool.send(request, 5.0)
        elapsed_us = (time.perf_counter_ns() - started) // 1000
        if response.status != 200:
            raise RuntimeError(f"{path.name}: status {response.status}: {response.body!r}")
        latencies.record_value(max(1, elapsed_us))
    return latencies


def _format_median_and_range(values: Sequence[float]) -> str:
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def _format_table(paths: Sequence[Path], costs: Sequence[NodeCost]) -> str:
    direct, relay = paths[0], paths[1]
    lines = [
        "Median over the rounds, and range; added and ratio are of the same round.",
        "",
        "| path | p50 ms | p99 ms | added at p99, ms | p99 over bare relay |",
        "|---|---|---|---|---|",
    ]
    for path in paths:
        p99s = path.percentiles_ms(99)
        added = [
            first - second for first, second in zip(p99s, direct.percentiles_ms(99), strict=True)
        ]
        ratio = [
            first / second for first, second in zip(p99s, relay.percentiles_ms(99), strict=True)
        ]
        cells = (path.percentiles_ms(50), p99s, added, ratio)
        lines.append(
            f"| {path.name} | {' | '.join(_format_median_and_range(cell) for cell in cells)} |"
        )
    lines.append("")
    for cost in costs:
        lines.append(
            f"node {cost.name}: {cost.cpu_s / cost.calls * 1e3:.2f} ms of processor time per call "
            f"(control included), {cost.resident_bytes / 1e6:.0f} MB resident"
        )
    lines.append(f"Targets: one node adds at most {TARGET_ADDED_MS} ms at p99,")
    lines.append(f"and its p99 is at most {TARGET_P99_RATIO} times that of the bare relay.")
    return "\n".join(lines)


def _start_paths(running: fleet.Fleet) -> list[Path]:
    upstream = running.addresses("far").server
    relay = processes.Ports().allocate()
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
        processes.wait_until(lambda path=path: is_answering(path), f"{path.name} answers")
    return paths


def is_answering(path: Path) -> bool:
    """Returns True if a call over a path is answered with status 200."""
    request = message.Request(b"GET", REQUEST_TARGET.encode(), path.headers)
    try:
        return http_client.send_once(path.address, request, 1.0, BODY_LIMIT_BYTES).status == 200
    except http_client.TransferError:
        return False


def read_metric(running: fleet.Fleet, host: str, name: str) -> float:
    """Returns the first sample of a metric, as the node on `host` exposes it."""
    page = client.send_request(running.addresses(host).operators, "GET", "/metrics").body.decode()
    lines = (line.split() for line in page.splitlines())
    return next(float(words[-1]) for words in lines if words and words[0].startswith(name))


def _measure_all(directory: pathlib.Path) -> tuple[list[Path], list[NodeCost]]:
    with fleet.Fleet(directory, HOSTS, CONFIGURATION_TEXT) as running:
        paths = _start_paths(running)
        pools = [http_client.Pool(path.address, BODY_LIMIT_BYTES) for path in paths]
        for path, pool in zip(paths, pools, strict=True):
            LOOP.run(_measure(path, pool, WARM_UP_CALLS))
        before = {host.name: read_metric(running, host.name, CPU_METRIC) for host in HOSTS}
        for _ in range(ROUNDS):
            for path, pool in zip(paths, pools, strict=True):
                path.rounds.append(LOOP.run(_measure(path, pool, CALLS_PER_ROUND)))
        costs = [
            NodeCost(
                name,
                ROUNDS * CALLS_PER_ROUND * PATH_COUNT_THROUGH_NODE[name],
                read_metric(running, name, CPU_METRIC) - cpu_s_before,
                read_metric(running, name, MEMORY_METRIC),
            )
            for name, cpu_s_before in before.items()
        ]
    return paths, costs


def main(arguments: Sequence[str] = ()) -> int:
    """Measures all paths in one run and prints the table; returns the exit code."""
    del arguments
    with tempfile.TemporaryDirectory() as directory:
        paths, costs = _measure_all(pathlib.Path(directory))
    print(_format_table(paths, costs))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
