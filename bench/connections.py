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

CONNECTION_COUNTS = (0, 100, 200, 400)
IDLE_S = 5.0
SETTINGS = "[limits]\ncaller_connections = 1000\n"
HOSTS = (fleet.Host("far", "fd1", "echo", service_ms=0.0, settings=SETTINGS),)


@attrs.frozen
class IdleUsage:
    """Memory and processor time that a node uses with a number of idle connections.

    Attributes:
        connections: Number of kept-alive connections, each of which has carried one call.
        resident_bytes: Resident memory in bytes.
        idle_cpu_fraction: Fraction of a core used while no call runs, 0.0 to 1.0.
    """

    connections: int
    resident_bytes: float
    idle_cpu_fraction: float


def _open_connections(pools: list[http_client.Pool], address: str, headers, count: int) -> None:
    request = message.Request(b"GET", latency.REQUEST_TARGET.encode(), headers)
    while len(pools) < count:
        pool = http_client.Pool(address, latency.BODY_LIMIT_BYTES)
        if latency.LOOP.run(pool.send(request, 10.0)).status != 200:
            raise RuntimeError("a call to open a connection was refused; see the log of the node")
        pools.append(pool)


def _measure_idle(running: fleet.Fleet, connections: int) -> IdleUsage:
    cpu_s_before = latency.read_metric(running, "far", latency.CPU_METRIC)
    time.sleep(IDLE_S)
    used_cpu_s = latency.read_metric(running, "far", latency.CPU_METRIC) - cpu_s_before
    memory = latency.read_metric(running, "far", latency.MEMORY_METRIC)
    return IdleUsage(connections, memory, used_cpu_s / IDLE_S)


def _measure(directory: pathlib.Path) -> list[IdleUsage]:
    with fleet.Fleet(directory, HOSTS, latency.CONFIGURATION_TEXT) as running:
        key = running.grant(latency.TEAM)
        running.wait_ready()
        headers = [(b"authorization", b"Bearer " + key.secret.encode())]
        address = running.addresses("far").callers
        path = latency.Path("far", address, headers)
        processes.wait_until(lambda: latency.is_answering(path), "the node answers")
        pools: list[http_client.Pool] = []
        usages = []
        for count in CONNECTION_COUNTS:
            _open_connections(pools, address, headers, count)
            usages.append(_measure_idle(running, count))
    return usages


def main(arguments: Sequence[str] = ()) -> int:
    """Measures all sizes in one run and prints the table; returns the exit code."""
    del arguments
    with tempfile.TemporaryDirectory() as directory:
        usages = _measure(pathlib.Path(directory))
    print("| idle connections | resident MB | share of a core while idle |")
    print("|---|---|---|")
    for usage in usages:
        megabytes = usage.resident_bytes / 1e6
        print(f"| {usage.connections} | {megabytes:.1f} | {usage.idle_cpu_fraction:.2%} |")
    grown_bytes = usages[-1].resident_bytes - usages[0].resident_bytes
    print(f"slope: {grown_bytes / usages[-1].connections / 1e3:.1f} kB for each connection")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
