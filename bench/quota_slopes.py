"""Cost of each drawing node to a quota holder, over gRPC on loopback.

The holder runs in a separate process, so that its processor time can be measured alone.
"""

import resource
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from concurrent import futures

import attrs

from bergamotridge import errors
from bergamotridge.callers import quota_rates
from bergamotridge.nodes import control, quota, quota_pb2, record
from bergamotridge.operators import operator_text
from bergamotridge.store import holding
from bergamotridge.util import clock, loop
from standins import store
from tests import fake_objects

DRAWING_NODES = (8, 16, 32)
CALLS_PER_S = 7.0  # Of one team at one node: 35,000 calls/s over 630 nodes and 8 teams.
WARM_UP_S = 6.0
MEASUREMENT_S = 8.0
WORKER_THREADS = 8
SECRET = "bench"
HOLDER = "holder"
LOOP = loop.Loop("bench")
TEAM_NAME = "utrecht"
RATE = 10_000.0
BURSTS_S = (1.0, 4.0)  # Bursts in seconds of the rate; they determine how far ahead nodes draw.
SETTINGS = quota_rates.QuotaSettings(timings=holding.Timings(adjust_s=0.5, join_after_s=0.0))
BYTES_PER_MIB = 1024 * 1024
KIB_PER_MIB = 1024


@attrs.define
class CountingClient:
    """Quota client that counts draws and their bytes, without those of HTTP/2.

    Attributes:
        inner: Client that sends the draws.
        lock: Guards the counts.
        messages: Number of draws.
        size_bytes: Bytes of the requests and responses.
    """

    inner: quota.QuotaClient
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    messages: int = 0
    size_bytes: int = 0

    def draw(
        self, address: str, request: quota_pb2.DrawRequest, timeout_s: float
    ) -> quota_pb2.DrawResponse:
        """Sends one draw and counts it."""
        response = self.inner.draw(address, request, timeout_s)
        with self.lock:
            self.messages += 1
            self.size_bytes += request.ByteSize() + response.ByteSize()
        return response


def _new_record(host: str, address: str, state: record.State) -> record.UpstreamRecord:
    return record.UpstreamRecord(host, 1, 1, "a", "r", "s", state, 1, 0.0, "", address)


def _new_quota_rates(
    host: str,
    members: Sequence[record.UpstreamRecord],
    transport: quota.Transport,
    burst_s: float,
) -> quota_rates.QuotaRates:
    team = operator_text.Team(TEAM_NAME, rate=RATE, burst=int(RATE * burst_s))
    return quota_rates.QuotaRates(
        host,
        1,
        "a",
        fake_objects.FakeObjects(store.Store()),
        transport,
        lambda: members,
        lambda: {TEAM_NAME: team},
        SETTINGS,
    )


def serve(burst_s: float) -> None:
    """Runs the holder until the end of standard input.

    Prints its address, then for each line of input its processor time in seconds and the peak of
    its resident memory in MiB.
    """
    members: list[record.UpstreamRecord] = []
    rates = _new_quota_rates(
        HOLDER, members, quota.QuotaClient(control.ChannelPool(SECRET)), burst_s
    )
    server = control.ControlServer("127.0.0.1:0", SECRET, [rates])
    address = f"127.0.0.1:{server.port}"
    members.append(_new_record(HOLDER, address, record.State.READY))
    server.start()
    rates.start()
    print(address, flush=True)
    for _ in sys.stdin:
        resident = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB
        print(time.process_time(), resident, flush=True)
    rates.stop()
    server.stop(0)


def _make_calls(nodes: Sequence[quota_rates.QuotaRates], until: float) -> int:
    refused = 0
    while time.monotonic() < until:
        started = time.monotonic()
        for rates in nodes:
            try:
                LOOP.run(rates.take(TEAM_NAME, clock.boot_time()))
            except errors.CallError:
                refused += 1
        time.sleep(max(0.0, 1.0 / CALLS_PER_S - (time.monotonic() - started)))
    return refused


def _print_usage(holder: subprocess.Popen, address: str, burst_s: float, count: int) -> None:
    members = [_new_record(HOLDER, address, record.State.READY)]
    channel_pools = [control.ChannelPool(SECRET) for _ in range(count)]
    clients = [CountingClient(quota.QuotaClient(pool)) for pool in channel_pools]
    nodes = [
        _new_quota_rates(f"n{index}", members, client, burst_s)
        for index, client in enumerate(clients)
    ]
    for rates in nodes:
        rates.start()
    with futures.ThreadPoolExecutor(WORKER_THREADS) as pool:
        _run_calls(pool, nodes, WARM_UP_S)
        messages = sum(client.messages for client in clients)
        size_bytes = sum(client.size_bytes for client in clients)
        before = _read_usage(holder)
        refused = _run_calls(pool, nodes, MEASUREMENT_S)
        after = _read_usage(holder)
    messages = sum(client.messages for client in clients) - messages
    size_bytes = sum(client.size_bytes for client in clients) - size_bytes
    used_ms = (after[0] - before[0]) * 1000
    print(
        f"{burst_s:4g} s {count:13d} "
        f"{messages / MEASUREMENT_S:10.1f} {size_bytes / MEASUREMENT_S:9.0f} "
        f"{used_ms / MEASUREMENT_S:16.2f} {used_ms / messages:14.3f} {after[1]:9.1f} {refused:8d}"
    )
    for rates in nodes:
        rates.stop()
    for channel_pool in channel_pools:
        channel_pool.close()


def _run_calls(
    pool: futures.Executor, nodes: Sequence[quota_rates.QuotaRates], seconds: float
) -> int:
    until = time.monotonic() + seconds
    workers = [
        pool.submit(_make_calls, nodes[index::WORKER_THREADS], until)
        for index in range(WORKER_THREADS)
    ]
    return sum(worker.result() for worker in workers)


def _read_usage(holder: subprocess.Popen) -> tuple[float, float]:
    holder.stdin.write("\n")
    holder.stdin.flush()
    used, resident = holder.stdout.readline().split()
    return float(used), float(resident)


def run() -> None:
    """Prints messages, bytes, processor time and memory of a holder by number of drawing nodes."""
    print(
        f"one holder, one team, {CALLS_PER_S:g} calls/s at each drawing node, {MEASUREMENT_S:g} s"
    )
    print(
        "burst  drawing nodes  messages/s   bytes/s  processor ms/s  ms per message  MiB peak  "
        "refused"
    )
    for burst_s in BURSTS_S:
        _run_holder(burst_s)


def _run_holder(burst_s: float) -> None:
    holder = subprocess.Popen(
        [sys.executable, "-m", "bench.quota_slopes", str(burst_s)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        address = holder.stdout.readline().strip()
        for count in DRAWING_NODES:
            _print_usage(holder, address, burst_s, count)
    finally:
        holder.stdin.close()
        holder.wait()


if __name__ == "__main__":
    serve(float(sys.argv[1]))
