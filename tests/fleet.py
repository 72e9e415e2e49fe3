"""Test rig of the process-level tests: a small fleet, its keys, and calls in the background."""

import concurrent.futures
import http.client
import itertools
import json
import pathlib
from collections.abc import Callable

import attrs

from standins import client, fleet, history, load, processes

LARGE_TEAM_RATE_PER_S = 2000.0
UNKNOWN_KEY = "unknown.key"
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
SLOW_SERVICE_MS = 1500.0
FAST_SERVICE_MS = 2.0
CALL_THREADS = 32
LOAD_TIMEOUT_S = 60.0
NO_RESPONSE = client.Reply(0, {}, b"")


def is_repeatable(run: history.Run) -> bool:
    """Returns True if the route of the run may be repeated; only GET routes are."""
    return run.method == "GET"


@attrs.define(eq=False)
class Rig:
    """A running fleet with the operations that the tests use.

    Attributes:
        fleet: The running fleet.
        directory: Directory for plans and records of loads.
        keys: One key for each team.
    """

    fleet: fleet.Fleet
    directory: pathlib.Path
    keys: dict[str, fleet.Key]
    _pool: concurrent.futures.ThreadPoolExecutor = attrs.field(
        factory=lambda: concurrent.futures.ThreadPoolExecutor(CALL_THREADS)
    )
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    def tag(self) -> str:
        """Returns a tag that is unique among the calls of this rig."""
        return f"tag-{next(self._numbers)}"

    def call(self, host: str, method: str, path: str, tag: str, **options: str) -> client.Reply:
        """Makes one call and returns the reply, or `NO_RESPONSE` if there was none.

        The call carries the key of team "large" unless `options` names another.
        """
        options = {"key": self.keys["large"].secret, **options}
        try:
            return self.fleet.call(host, method, path, tag=tag, **options)
        except (OSError, http.client.HTTPException):
            return NO_RESPONSE

    def start_call(
        self, host: str, method: str, path: str, tag: str, **options: str
    ) -> "concurrent.futures.Future[client.Reply]":
        """Starts one call in the background."""
        return self._pool.submit(self.call, host, method, path, tag, **options)

    def call_until(
        self,
        host: str,
        method: str,
        path: str,
        is_wanted: Callable[[client.Reply], bool],
        **options,
    ) -> client.Reply:
        """Repeats calls, each with a new tag, until `is_wanted` accepts a reply, and returns it.

        Raises:
            NotReadyError: No reply was accepted in time; the message quotes the last one.
        """
        replies = [NO_RESPONSE]

        def call_and_check() -> bool:
            replies.append(self.call(host, method, path, self.tag(), **options))
            return is_wanted(replies[-1])

        try:
            processes.wait_until(call_and_check, f"wanted reply to {method} {path} at {host}")
        except processes.NotReadyError as error:
            raise processes.NotReadyError(f"{error}; last reply: {replies[-1]}") from error
        return replies[-1]

    def call_until_served(
        self, host: str, method: str = "GET", path: str = "/reads/1"
    ) -> client.Reply:
        """Repeats calls until one gets status 200, and returns that reply."""
        return self.call_until(host, method, path, lambda reply: reply.status == 200)

    def runs(self, tag: str = "", service: str = "") -> list[history.Run]:
        """Returns the runs of all upstreams, only those of one tag or service if given."""
        return [
            run
            for run in history.parse_runs(self.fleet.records())
            if tag in ("", run.tag) and service in ("", run.service)
        ]

    def wait_for_run(self, tag: str, service: str) -> fleet.Member:
        """Waits until a call runs at an upstream of a service; returns the upstream's host."""
        processes.wait_until(lambda: self.runs(tag, service), f"{tag} runs at {service}")
        address = self.runs(tag, service)[0].address
        members = self.fleet.members.values()
        return next(member for member in members if member.addresses.server == address)

    def members(self, service: str) -> list[fleet.Member]:
        """Returns the hosts whose upstream belongs to a service."""
        return [member for member in self.fleet.members.values() if member.host.service == service]

    def inject_faults(self, service: str, **changes: object) -> None:
        """Injects faults into all upstreams of a service."""
        for member in self.members(service):
            member.inject_faults(**changes)

    def send_load(self, *streams: load.Stream, seed: int = 1) -> list[load.Attempt]:
        """Sends load from a process of its own and returns the attempts as the callers saw them."""
        name = f"load-{next(self._numbers)}"
        plan, record = self.directory / f"{name}.json", self.directory / f"{name}.record"
        plan.write_text(json.dumps(attrs.asdict(load.Plan(seed, streams, name))), encoding="utf-8")
        arguments = ("standins.load", f"--plan={plan}", f"--record={record}")
        assert self.fleet.launch(name, *arguments).wait(LOAD_TIMEOUT_S) == 0
        return load.read_record(str(record))

    def start_load(
        self, *streams: load.Stream, seed: int = 1
    ) -> "concurrent.futures.Future[list[load.Attempt]]":
        """Starts to send load in the background."""
        return self._pool.submit(self.send_load, *streams, seed=seed)

    def find_violations(self, attempts: list[load.Attempt]) -> list[object]:
        """Returns the violations of the rules that hold for every load."""
        return history.find_violations(attempts, self.runs(), is_repeatable)

    def stream(
        self,
        team: str,
        route: str,
        rate: float,
        duration_s: float,
        hosts: tuple[str, ...],
        **options,
    ) -> load.Stream:
        """Returns a stream of calls to a route of `ROUTES`, at `rate` calls per second."""
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
            end_s=duration_s,
            timeout_s=15,
            **options,
        )

    def restore(self) -> None:
        """Clears all faults, restarts ended processes and waits until the fleet is ready again."""
        self.fleet.inject_platform_faults(
            outage=False, delay_ms=0, lose_answers=0, stale_reads=False, odd_items=[]
        )
        for member in self.fleet.members.values():
            for process in (member.node, member.upstream):
                process.resume()
                if process.stop_requested:
                    process.wait()
                if not process.running:
                    process.start()
        for member in self.fleet.members.values():
            processes.wait_until(lambda member=member: self._clear_faults(member), member.host.name)
        self.fleet.wait_ready()
        # Until a node has received all keys, it serves known ones and answers 503 to any other.
        for host in self.fleet.members:
            processes.wait_until(
                lambda host=host: (
                    self.call(host, "GET", "/reads/1", self.tag(), key=UNKNOWN_KEY).status == 401
                ),
                f"{host} has received all keys",
            )
        # A quota holder that was lost or replaced grants a team's tokens only after some time.
        for host in self.fleet.members:
            self.call_until_served(host)
        self.fleet.wait_rates({"large": LARGE_TEAM_RATE_PER_S})

    def stop(self) -> None:
        """Cancels background calls that have not started; does not wait for the others."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _clear_faults(self, member: fleet.Member) -> bool:
        try:
            member.inject_faults(**NO_FAULTS)
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
NO_FAULTS = {
    "service_ms": FAST_SERVICE_MS,
    "shed_rate": 0.0,
    "cut_answers": 0,
    "late_ms": 0.0,
    "load": None,
    "state": None,
    "silent": False,
    "rate_limit": None,
    "leaving": False,
    "endless": "",
    "status": 0,
    "mute_when_full": False,
}
