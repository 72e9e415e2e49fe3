"""Processor time and user instructions that nodes spend on one request.

Four nodes with stand-ins on loopback; half of the requests enter at a host of another service and
pass through two nodes. What the nodes use without requests is subtracted. Instructions, which vary
less than times on a busy machine, are counted by ``perf`` where it is installed.
"""

import asyncio
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence

import attrs

from bench import latency
from bergamotridge.util import http_client, message
from standins import fleet, processes

ROUNDS = 3
WARM_UP_REQUESTS = 200  # On each connection.
REQUESTS = 1_000  # On each connection, in one round.
CONNECTIONS = 2  # To each node.
IDLE_S = 3.0
TIMEOUT_S = 5.0
COUNTER_START_S = 0.5
BODY_LIMIT_BYTES = 1 << 20
HOSTS = tuple(
    fleet.Host(f"{service}{number}", f"fd{number}", service, service_ms=0.0)
    for service in ("echo", "other")
    for number in (1, 2)
)
# As many as a browser sends.
FIELDS = (
    (b"user-agent", b"Mozilla/5.0 (X11; Linux) Gecko"),
    (b"accept", b"application/json"),
    (b"accept-language", b"nl,en;q=0.5"),
    (b"accept-encoding", b"gzip"),
    (b"x-request-source", b"web"),
    (b"cookie", b"session=0123456789abcdef"),
    (b"cache-control", b"no-cache"),
)


@attrs.frozen
class Cost:
    """What one request costs the nodes.

    Attributes:
        cpu_ms: Processor time in milliseconds.
        instructions: User instructions in thousands, idle ones included; None without ``perf``.
    """

    cpu_ms: float
    instructions: float | None


class _InstructionCounter:
    """Counts the user instructions of processes with ``perf stat``."""

    def __init__(self, pids: Sequence[int], directory: pathlib.Path) -> None:
        self._output = directory / "perf.csv"
        command = ["perf", "stat", "-x,", "-e", "instructions:u", "-o", str(self._output)]
        self._perf = subprocess.Popen([*command, "-p", ",".join(map(str, pids))])
        time.sleep(COUNTER_START_S)

    def stop(self) -> float:
        """Returns the number of instructions since the start."""
        self._perf.send_signal(signal.SIGINT)
        self._perf.wait()
        lines = self._output.read_text(encoding="utf-8").splitlines()
        return next(float(line.split(",")[0]) for line in lines if "instructions:u" in line)


async def _send_all(running: fleet.Fleet, secret: str, requests: int) -> None:
    fields = [*FIELDS, (b"authorization", b"Bearer " + secret.encode())]

    async def send(pool: http_client.Pool) -> None:
        for number in range(requests):
            target = b"%s?number=%d" % (latency.REQUEST_TARGET.encode(), number)
            response = await pool.send(message.Request(b"GET", target, fields), TIMEOUT_S)
            if response.status != 200:
                raise RuntimeError(f"status {response.status}: {response.body!r}")

    pools = [
        http_client.Pool(member.addresses.callers, BODY_LIMIT_BYTES)
        for member in running.members.values()
    ]
    await asyncio.gather(*(send(pool) for pool in pools for _ in range(CONNECTIONS)))


def _read_cpu_s(running: fleet.Fleet) -> float:
    return sum(latency.read_metric(running, host, latency.CPU_METRIC) for host in running.members)


def _measure_round(
    running: fleet.Fleet, secret: str, idle_cpu: float, directory: pathlib.Path
) -> Cost:
    total = REQUESTS * CONNECTIONS * len(HOSTS)
    counter = None
    if shutil.which("perf"):
        pids = [member.node.pid for member in running.members.values()]
        counter = _InstructionCounter(pids, directory)
    started_at, cpu_s = time.monotonic(), _read_cpu_s(running)
    asyncio.run(_send_all(running, secret, REQUESTS))
    cpu_s = _read_cpu_s(running) - cpu_s - idle_cpu * (time.monotonic() - started_at)
    instructions = counter.stop() / total / 1e3 if counter is not None else None
    return Cost(cpu_s / total * 1e3, instructions)


def _measure(directory: pathlib.Path) -> list[Cost]:
    with fleet.Fleet(directory, HOSTS, latency.CONFIGURATION_TEXT) as running:
        key = running.grant(latency.TEAM)
        running.wait_ready()
        for name in running.members:
            processes.wait_until(
                lambda name=name: running.call(
                    name, "GET", latency.REQUEST_TARGET, key=key.secret
                ).status
                == 200,
                f"the node on {name} answers",
            )
        asyncio.run(_send_all(running, key.secret, WARM_UP_REQUESTS))
        idle_cpu_s = _read_cpu_s(running)
        time.sleep(IDLE_S)
        idle_cpu = (_read_cpu_s(running) - idle_cpu_s) / IDLE_S
        return [_measure_round(running, key.secret, idle_cpu, directory) for _ in range(ROUNDS)]


def main(arguments: Sequence[str] = ()) -> int:
    """Measures some rounds and prints the cost of a request in each; returns the exit code."""
    del arguments
    with tempfile.TemporaryDirectory() as directory:
        costs = _measure(pathlib.Path(directory))
    for cost in costs:
        counted = "" if cost.instructions is None else f", {cost.instructions:.0f} k instructions"
        print(f"a request costs the nodes {cost.cpu_ms:.3f} ms of processor time{counted}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
