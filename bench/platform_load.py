"""Requests that a whole fleet makes to the platform: in quiet, in restarts and after an outage."""

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
from bergamotridge.store import apply, client, configuration, watch
from standins import platform

PROCESSES = 7
PLACES = 3
TIMEOUT_S = 5.0
POLL_S = 0.25
WINDOW_S = 1.0


@attrs.frozen
class _Members:
    """A membership that knows everyone and does not change."""

    own: record.UpstreamRecord
    everyone: tuple[record.UpstreamRecord, ...]

    def members(self) -> tuple[record.UpstreamRecord, ...]:
        """Returns all records."""
        return self.everyone


class _HearsPeers:
    """A choice of peers whose peers always answer."""

    def has_recent_answer(self, now: float) -> bool:
        """Returns True."""
        return True


class PlatformNode:
    """The tasks of one node that talk to the platform."""

    def __init__(self, members: _Members, address: str, seed: int, everyone_watches: bool) -> None:
        rng = random.Random(seed)
        self._client = client.ObjectClient(address, TIMEOUT_S)
        election = watch_election.WatchElection(members, _HearsPeers(), PLACES)
        is_elected = (lambda now: True) if everyone_watches else election.is_elected
        timings = watch.WatchTimings()
        replicas = (configuration.ConfigurationStore(), keys.KeyRing(control_node.SECRET))
        self._tasks = [
            watch.Watcher(self._client, copy, timings, rng, is_elected) for copy in replicas
        ]
        first = bootstrap.BootstrapTimings(stable_s=10.0)
        self._tasks.append(
            bootstrap.Bootstrap(self._client, members, lambda _: None, election, first, rng)
        )
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Ends the tasks."""
        for task in self._tasks:
            task.stop()
        self._client.close()


def _serve(pipe, address: str, fleet: int, part: int, everyone_watches: bool) -> None:
    everyone = tuple(
        control_node.own_record(f"node-{n:04d}", n, f"10.0.{n // 200}.{n % 200}:8003")
        for n in range(fleet)
    )
    numbers = range(part, fleet, PROCESSES)

    def boot(number: int) -> PlatformNode:
        members = _Members(everyone[number], everyone)
        seed = time.monotonic_ns() + number
        return PlatformNode(members, address, seed, everyone_watches)

    nodes = {number: boot(number) for number in numbers}
    while pipe.recv() == "restart":
        number = random.choice(list(nodes))
        nodes.pop(number).stop()
        nodes[number] = boot(number)
    for node in nodes.values():
        node.stop()


def _platform(pipe) -> None:
    server = platform.start("127.0.0.1:0")
    pipe.send("{}:{}".format(*server.server_address))
    pipe.recv()


def _post(address: str, faults: dict) -> None:
    body = json.dumps(faults).encode()
    urllib.request.urlopen(f"http://{address}/faults", body, timeout=TIMEOUT_S).read()


@attrs.frozen
class Load:
    """Requests to the platform in a span of time; reads include watches."""

    reads_per_s: float
    writes_per_s: float
    peak_reads: int
    peak_writes: int


class Meter:
    """Samples the stand-in's counts and finds the busiest second."""

    def __init__(self, address: str) -> None:
        self._address = address

    def over(self, seconds: float) -> Load:
        """Measures for a time in seconds."""
        samples = [self._sample()]
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(POLL_S)
            samples.append(self._sample())
        (first_at, first_reads, first_writes), (last_at, reads, writes) = samples[0], samples[-1]
        span = last_at - first_at
        return Load(
            (reads - first_reads) / span,
            (writes - first_writes) / span,
            _peak(samples, 1),
            _peak(samples, 2),
        )

    def _sample(self) -> tuple[float, int, int]:
        url = f"http://{self._address}/statistics"
        counts = json.loads(urllib.request.urlopen(url, timeout=TIMEOUT_S).read())
        return time.monotonic(), counts["reads"] + counts["watches"], counts["writes"]


def _peak(samples: list[tuple[float, int, int]], column: int) -> int:
    """Returns the most requests in any window of about a second."""
    return max(
        later[column] - sample[column]
        for sample in samples
        for later in samples
        if 0 <= later[0] - sample[0] <= WINDOW_S + POLL_S / 2
    )


def _print(fleet: int, what: str, load: Load) -> None:
    print(
        f"{fleet:4d} nodes, {what}: reads {load.reads_per_s:.1f}/s, busiest second "
        f"{load.peak_reads}; writes {load.writes_per_s:.2f}/s, busiest second {load.peak_writes}",
        flush=True,
    )


def _configure(store: client.ObjectClient, times: int, pause_s: float) -> None:
    for number in range(times):
        time.sleep(pause_s)
        try:
            version = store.get(configuration.KIND, configuration.NAME).version
        except errors.NotFoundError:
            version = 0
        apply.apply(store, f"[teams.team-{number}]\nrate = 1\nburst = 1\n", version)


def _restart(pipes: list, times: int, per_s: float) -> None:
    for number in range(times):
        pipes[number % len(pipes)].send("restart")
        time.sleep(1.0 / per_s)


def measure(fleet: int, everyone_watches: bool, restarts: int) -> None:
    """Prints the load of a fleet on the platform in several situations."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    context.Process(target=_platform, args=(theirs,), daemon=True).start()
    address = ours.recv()
    meter, store = Meter(address), client.ObjectClient(address, TIMEOUT_S)
    pipes, processes = [], []
    for part in range(PROCESSES):
        pipe, other = context.Pipe()
        arguments = (other, address, fleet, part, everyone_watches)
        processes.append(context.Process(target=_serve, args=arguments, daemon=True))
        pipes.append(pipe)
    for process in processes:
        process.start()
    _print(fleet, "all boot at once, first 15 s", meter.over(15.0))
    _print(fleet, "quiet, 30 s", meter.over(30.0))
    changes = threading.Thread(target=_configure, args=(store, 5, 2.0))
    changes.start()
    _print(fleet, "5 changes of configuration in 12 s", meter.over(12.0))
    if restarts:
        rolling = threading.Thread(target=_restart, args=(pipes, restarts, restarts / 22.0))
        rolling.start()
        _print(fleet, f"{restarts} restarts in 22 s", meter.over(24.0))
    _post(address, {"outage": True})
    _print(fleet, "outage of 15 s for all", meter.over(15.0))
    _post(address, {"outage": False})
    _print(fleet, "return after the outage, 10 s", meter.over(10.0))
    for pipe, process in zip(pipes, processes, strict=True):
        pipe.send("end")
        process.join(5)
        process.kill()
    ours.send("end")
