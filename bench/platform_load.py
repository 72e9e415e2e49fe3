"""Requests of a whole fleet to the platform: when idle, in restarts and after an outage."""

import json
import multiprocessing
import random
import threading
import time
import urllib.request

import attrs

from bench import control_node
from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.nodes import bootstrap, record, watch_election
from bergamotridge.store import apply, client, configuration, position, watch
from standins import platform

PROCESSES = 7
WATCHERS_PER_DOMAIN = 3
TIMEOUT_S = 5.0
SAMPLE_INTERVAL_S = 0.25
WINDOW_S = 1.0


@attrs.frozen
class _FixedMembers:
    """Membership of all nodes that never changes."""

    own: record.UpstreamRecord
    everyone: tuple[record.UpstreamRecord, ...]

    def members(self) -> tuple[record.UpstreamRecord, ...]:
        """Returns all records."""
        return self.everyone


class _AlwaysHearsPeers:
    """Peer chooser whose peers always answer."""

    def has_recent_answer(self, now: float) -> bool:
        """Returns True."""
        return True


class PlatformNode:
    """The tasks of one node that send requests to the platform."""

    def __init__(
        self, members: _FixedMembers, address: str, seed: int, everyone_watches: bool
    ) -> None:
        rng = random.Random(seed)
        self._client = client.ObjectClient(address, TIMEOUT_S)
        election = watch_election.WatchElection(members, _AlwaysHearsPeers(), WATCHERS_PER_DOMAIN)
        may_ask_platform = (lambda now: True) if everyone_watches else election.is_elected
        timings = watch.WatchTimings()
        replicas = (configuration.ConfigurationStore(), keys.KeyRing(control_node.SECRET))
        self._tasks = [
            watch.Watcher(self._client, replica, timings, rng, may_ask_platform)
            for replica in replicas
        ]
        bootstrap_timings = bootstrap.BootstrapTimings(stable_s=10.0)
        self._tasks.append(
            bootstrap.Bootstrap(
                self._client, members, lambda _: None, election, bootstrap_timings, rng
            )
        )
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stops the tasks and closes the connections to the platform."""
        for task in self._tasks:
            task.stop()
        self._client.close()


def _run_nodes(
    pipe, address: str, fleet_size: int, first_number: int, everyone_watches: bool
) -> None:
    everyone = tuple(
        control_node.own_record(f"node-{n:04d}", n, f"10.0.{n // 200}.{n % 200}:8003")
        for n in range(fleet_size)
    )
    numbers = range(first_number, fleet_size, PROCESSES)

    def start_node(number: int) -> PlatformNode:
        members = _FixedMembers(everyone[number], everyone)
        seed = time.monotonic_ns() + number
        return PlatformNode(members, address, seed, everyone_watches)

    nodes = {number: start_node(number) for number in numbers}
    while pipe.recv() == "restart":
        number = random.choice(list(nodes))
        nodes.pop(number).stop()
        nodes[number] = start_node(number)
    for node in nodes.values():
        node.stop()


def _run_platform(pipe) -> None:
    server = platform.start("127.0.0.1:0")
    pipe.send("{}:{}".format(*server.server_address))
    pipe.recv()


def _set_faults(address: str, faults: dict) -> None:
    body = json.dumps(faults).encode()
    urllib.request.urlopen(f"http://{address}/faults", body, timeout=TIMEOUT_S).read()


@attrs.frozen
class PlatformLoad:
    """Requests to the platform in a span of time.

    Attributes:
        reads_per_s: Mean reads per second, watches included.
        writes_per_s: Mean writes per second.
        peak_reads: Reads in the busiest second, watches included.
        peak_writes: Writes in the busiest second.
    """

    reads_per_s: float
    writes_per_s: float
    peak_reads: int
    peak_writes: int


class LoadMeter:
    """Measures the load from samples of the request counts of the stand-in platform."""

    def __init__(self, address: str) -> None:
        self._address = address

    def measure_for(self, seconds: float) -> PlatformLoad:
        """Samples the counts for so many seconds and returns the load."""
        samples = [self._sample()]
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(SAMPLE_INTERVAL_S)
            samples.append(self._sample())
        (first_at, first_reads, first_writes), (last_at, reads, writes) = samples[0], samples[-1]
        span = last_at - first_at
        return PlatformLoad(
            (reads - first_reads) / span,
            (writes - first_writes) / span,
            _find_peak(samples, 1),
            _find_peak(samples, 2),
        )

    def _sample(self) -> tuple[float, int, int]:
        url = f"http://{self._address}/statistics"
        counts = json.loads(urllib.request.urlopen(url, timeout=TIMEOUT_S).read())
        return time.monotonic(), counts["reads"] + counts["watches"], counts["writes"]


def _find_peak(samples: list[tuple[float, int, int]], column: int) -> int:
    """Returns the largest number of requests in any window of about `WINDOW_S`."""
    return max(
        later[column] - sample[column]
        for sample in samples
        for later in samples
        if 0 <= later[0] - sample[0] <= WINDOW_S + SAMPLE_INTERVAL_S / 2
    )


def _print_load(fleet_size: int, situation: str, load: PlatformLoad) -> None:
    print(
        f"{fleet_size:4d} nodes, {situation}: reads {load.reads_per_s:.1f}/s, busiest second "
        f"{load.peak_reads}; writes {load.writes_per_s:.2f}/s, busiest second {load.peak_writes}",
        flush=True,
    )


def _change_configuration(store: client.ObjectClient, times: int, interval_s: float) -> None:
    for number in range(times):
        time.sleep(interval_s)
        try:
            version = store.get(configuration.KIND, configuration.NAME).version
        except errors.NotFoundError:
            version = position.START
        apply.apply(store, f"[teams.team-{number}]\nrate = 1\nburst = 1\n", version)


def _restart_nodes(pipes: list, times: int, restarts_per_s: float) -> None:
    for number in range(times):
        pipes[number % len(pipes)].send("restart")
        time.sleep(1.0 / restarts_per_s)


def measure(fleet_size: int, everyone_watches: bool, restarts: int) -> None:
    """Prints the load of a fleet on the platform in several situations.

    Args:
        fleet_size: Number of nodes.
        everyone_watches: True if every node watches the platform, not only some per domain.
        restarts: Number of nodes to restart in 22 seconds, 0 for no such situation.
    """
    context = multiprocessing.get_context("spawn")
    pipe_to_platform, platform_pipe = context.Pipe()
    context.Process(target=_run_platform, args=(platform_pipe,), daemon=True).start()
    address = pipe_to_platform.recv()
    meter, store = LoadMeter(address), client.ObjectClient(address, TIMEOUT_S)
    pipes, processes = [], []
    for first_number in range(PROCESSES):
        pipe, child_pipe = context.Pipe()
        process_arguments = (child_pipe, address, fleet_size, first_number, everyone_watches)
        processes.append(context.Process(target=_run_nodes, args=process_arguments, daemon=True))
        pipes.append(pipe)
    for process in processes:
        process.start()
    _print_load(fleet_size, "all boot at once, first 15 s", meter.measure_for(15.0))
    _print_load(fleet_size, "quiet, 30 s", meter.measure_for(30.0))
    changes = threading.Thread(target=_change_configuration, args=(store, 5, 2.0))
    changes.start()
    _print_load(fleet_size, "5 changes of configuration in 12 s", meter.measure_for(12.0))
    if restarts:
        rolling = threading.Thread(target=_restart_nodes, args=(pipes, restarts, restarts / 22.0))
        rolling.start()
        _print_load(fleet_size, f"{restarts} restarts in 22 s", meter.measure_for(24.0))
    _set_faults(address, {"outage": True})
    _print_load(fleet_size, "outage of 15 s for all", meter.measure_for(15.0))
    _set_faults(address, {"outage": False})
    _print_load(fleet_size, "return after the outage, 10 s", meter.measure_for(10.0))
    for pipe, process in zip(pipes, processes, strict=True):
        pipe.send("end")
        process.join(5)
        process.kill()
    pipe_to_platform.send("end")
