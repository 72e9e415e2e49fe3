"""The rig of the process-level tests: a small fleet, its keys, and calls made in the background."""

import concurrent.futures
import http.client
import itertools
import json
import pathlib
from collections.abc import Callable

import attrs

from standins import client, fleet, history, load, processes

LARGE_RATE = 2000.0
TEXT = """
[services.front]
depends_on = ["back"]
slots = 20
[services.back]
slots = 20

[routes.read]
path = "/reads/<id>"
service = "front"
repeatable = true
timeout_s = 4.0
[routes.rows]
path = "/rows"
service = "back"
repeatable = true
timeout_s = 4.0
[routes.glance]
path = "/glances"
service = "back"
importance = "sheddable"
repeatable = true
timeout_s = 1.0
[routes.pay]
method = "POST"
path = "/payments"
service = "back"
importance = "critical"
timeout_s = 4.0
[routes.order]
method = "POST"
path = "/orders"
service = "front"
importance = "critical"
timeout_s = 4.0
[routes.open]
path = "/open"
service = "back"
open = true
repeatable = true

[teams.large]
rate = 2000
burst = 2000
[teams.small]
rate = 10
burst = 10
"""
FRONT_CALLS = ("GET /reads > GET /rows", "POST /orders > POST /payments")
HOSTS = (
    fleet.Host("front-1", "east", "front", slots=20, calls=FRONT_CALLS),
    fleet.Host("front-2", "west", "front", slots=20, calls=FRONT_CALLS),
    fleet.Host("back-1", "east", "back", slots=20),
    fleet.Host("back-2", "west", "back", slots=20),
)
SLOW_MS = 1500.0
QUICK_MS = 2.0
CALL_THREADS = 32
LOAD_LIMIT_S = 60.0
NO_ANSWER = client.Reply(0, {}, b"")


def is_repeatable(run: history.Run) -> bool:
    """Returns True for runs of routes that may be repeated."""
    return run.method == "GET"


@attrs.define(eq=False)
class Rig:
    """A running fleet and what tests do with it."""

    fleet: fleet.Fleet
    directory: pathlib.Path
    keys: dict[str, fleet.Key]
    _pool: concurrent.futures.ThreadPoolExecutor = attrs.field(
        factory=lambda: concurrent.futures.ThreadPoolExecutor(CALL_THREADS)
    )
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    def tag(self) -> str:
        """Returns a tag that no other call has."""
        return f"tag-{next(self._numbers)}"

    def call(self, host: str, method: str, path: str, tag: str, **options: str) -> client.Reply:
        """Makes one call with the large team's key unless another is given."""
        options = {"key": self.keys["large"].secret, **options}
        try:
            return self.fleet.call(host, method, path, tag=tag, **options)
        except (OSError, http.client.HTTPException):
            return NO_ANSWER

    def begin(
        self, host: str, method: str, path: str, tag: str, **options: str
    ) -> "concurrent.futures.Future[client.Reply]":
        """Makes one call in the background."""
        return self._pool.submit(self.call, host, method, path, tag, **options)

    def until(
        self, host: str, method: str, path: str, wanted: Callable[[client.Reply], bool], **options
    ) -> client.Reply:
        """Repeats calls with tags of their own until an answer is as wanted, and returns it."""
        replies = [NO_ANSWER]

        def tried() -> bool:
            replies.append(self.call(host, method, path, self.tag(), **options))
            return wanted(replies[-1])

        try:
            processes.wait_until(tried, f"wanted answer of {method} {path} at {host}")
        except processes.NotReadyError as error:
            raise processes.NotReadyError(f"{error}; last: {replies[-1]}") from error
        return replies[-1]

    def until_served(self, host: str, method: str = "GET", path: str = "/reads/1") -> client.Reply:
        """Repeats calls until one is served."""
        return self.until(host, method, path, lambda reply: reply.status == 200)

    def runs(self, tag: str = "", service: str = "") -> list[history.Run]:
        """Returns what upstreams ran, only of one tag or service if given."""
        return [
            run
            for run in history.runs(self.fleet.records())
            if tag in ("", run.tag) and service in ("", run.service)
        ]

    def await_run(self, tag: str, service: str) -> fleet.Member:
        """Waits until a call runs at an upstream of a service, and returns that host."""
        processes.wait_until(lambda: self.runs(tag, service), f"{tag} runs at {service}")
        address = self.runs(tag, service)[0].address
        members = self.fleet.members.values()
        return next(one for one in members if one.addresses.server == address)

    def members(self, service: str) -> list[fleet.Member]:
        """Returns the hosts of a service."""
        return [one for one in self.fleet.members.values() if one.host.service == service]

    def control(self, service: str, **changes: object) -> None:
        """Injects faults into all upstreams of a service."""
        for member in self.members(service):
            member.control(**changes)

    def send(self, *streams: load.Stream, seed: int = 1) -> list[load.Attempt]:
        """Sends load and returns what the callers saw."""
        name = f"load-{next(self._numbers)}"
        plan, record = self.directory / f"{name}.json", self.directory / f"{name}.record"
        plan.write_text(json.dumps(attrs.asdict(load.Plan(seed, streams, name))), encoding="utf-8")
        words = ("standins.load", f"--plan={plan}", f"--record={record}")
        assert self.fleet.launch(name, *words).wait(LOAD_LIMIT_S) == 0
        return load.read_record(str(record))

    def begin_send(
        self, *streams: load.Stream, seed: int = 1
    ) -> "concurrent.futures.Future[list[load.Attempt]]":
        """Sends load in the background."""
        return self._pool.submit(self.send, *streams, seed=seed)

    def faults(self, attempts: list[load.Attempt]) -> list[object]:
        """Returns what broke the rules that hold for every load."""
        return history.faults(attempts, self.runs(), is_repeatable)

    def stream(
        self, team: str, route: str, rate: float, seconds: float, hosts: tuple[str, ...], **options
    ) -> load.Stream:
        """Returns a stream of calls to one of the rig's routes."""
        method, path = ROUTES[route]
        return load.Stream(
            team=team,
            route=route,
            importance="",
            method=method,
            path=path,
            rate=rate,
            key=self.keys[team].secret,
            targets=tuple(self.fleet.addresses(host).callers for host in hosts),
            start_s=0,
            end_s=seconds,
            timeout_s=15,
            **options,
        )

    def restore(self) -> None:
        """Ends all faults, starts what has ended and waits until the fleet is whole again."""
        self.fleet.platform_faults(outage=False, delay_ms=0, lose_answers=0, stale_reads=False)
        for member in self.fleet.members.values():
            for process in (member.node, member.upstream):
                process.resume()
                if process.ending:
                    process.wait()
                if not process.running:
                    process.start()
        for member in self.fleet.members.values():
            processes.wait_until(lambda member=member: self._mended(member), member.host.name)
        self.fleet.wait_ready()
        # A holder that was lost or replaced hands out tokens of the team only after a while.
        for host in self.fleet.members:
            self.until_served(host)
        self.fleet.wait_rates({"large": LARGE_RATE})

    def stop(self) -> None:
        """Ends the background calls."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _mended(self, member: fleet.Member) -> bool:
        try:
            member.control(**QUIET)
        except (OSError, http.client.HTTPException):
            return False
        return True


ROUTES = {
    "read": ("GET", "/reads/1"),
    "rows": ("GET", "/rows"),
    "glance": ("GET", "/glances"),
    "pay": ("POST", "/payments"),
    "order": ("POST", "/orders"),
}
QUIET = {
    "service_ms": QUICK_MS,
    "shed_rate": 0.0,
    "cut_answers": 0,
    "late_ms": 0.0,
    "load": None,
    "state": None,
    "silent": False,
}
