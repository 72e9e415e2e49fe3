"""Memory and processor time of a node against the number of kept-alive connections to it."""

import pathlib
import sys
import tempfile
import time
from collections.abc import Sequence

import attrs

from bench import latency
from bergamotridge.util import http_client, message
from standins import fleet, processes

SIZES = (0, 100, 200, 400)
IDLE_S = 5.0
SETTINGS = "[limits]\ncaller_connections = 1000\n"
HOSTS = (fleet.Host("far", "fd1", "echo", service_ms=0.0, settings=SETTINGS),)


@attrs.frozen
class Point:
    """What a node uses with a number of idle connections.

    Attributes:
        connections: Kept-alive connections, each of which has carried one call.
        resident_bytes: Resident memory.
        idle_share: Share of a core used while no call runs.
    """

    connections: int
    resident_bytes: float
    idle_share: float


def _open(pools: list[http_client.Pool], address: str, headers, count: int) -> None:
    request = message.Request(b"GET", latency.TARGET.encode(), headers)
    while len(pools) < count:
        pool = http_client.Pool(address, latency.BODY_LIMIT)
        if latency.LOOP.run(pool.send(request, 10.0)).status != 200:
            raise RuntimeError("a call was refused")
        pools.append(pool)


def _point(running: fleet.Fleet, connections: int) -> Point:
    before = latency.metric(running, "far", latency.CPU_METRIC)
    time.sleep(IDLE_S)
    spent = latency.metric(running, "far", latency.CPU_METRIC) - before
    memory = latency.metric(running, "far", latency.MEMORY_METRIC)
    return Point(connections, memory, spent / IDLE_S)


def _measure(directory: pathlib.Path) -> list[Point]:
    with fleet.Fleet(directory, HOSTS, latency.TEXT) as running:
        key = running.grant(latency.TEAM)
        running.wait_ready()
        headers = [(b"authorization", b"Bearer " + key.secret.encode())]
        address = running.addresses("far").callers
        path = latency.Path("far", address, headers)
        processes.wait_until(lambda: latency.answers(path), "the node answers")
        pools: list[http_client.Pool] = []
        points = []
        for size in SIZES:
            _open(pools, address, headers, size)
            points.append(_point(running, size))
    return points


def main(arguments: Sequence[str] = ()) -> int:
    """Measures all sizes in one run and prints the table; returns the exit code."""
    del arguments
    with tempfile.TemporaryDirectory() as directory:
        points = _measure(pathlib.Path(directory))
    print("| idle connections | resident MB | share of a core while idle |")
    print("|---|---|---|")
    for point in points:
        megabytes = point.resident_bytes / 1e6
        print(f"| {point.connections} | {megabytes:.1f} | {point.idle_share:.2%} |")
    grown = points[-1].resident_bytes - points[0].resident_bytes
    print(f"slope: {grown / points[-1].connections / 1e3:.1f} kB for each connection")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
