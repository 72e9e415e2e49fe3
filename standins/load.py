"""Caller load: open-loop arrivals at given rates, recorded call by call.

Run ``python -m standins.load --plan plan.json --record trace.jsonl``. The plan is the JSON form of
`Plan`. Arrivals are seeded and do not wait for answers, as with independent callers. The record
is one JSON line for each attempt (`Attempt`), which is also the form of a recorded trace.
"""

import collections
import heapq
import io
import json
import pathlib
import random
import time
import typing

import attrs
import cattrs
import pycurl
from absl import app, flags

TAG_HEADER = "Request-Tag"
IDEMPOTENCY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "bergamotridge-request-id"
VERDICT_HEADER = "bergamotridge-verdict"
POLL_S = 0.005
CONNECT_TIMEOUT_MS = 2000
KEPT_CONNECTIONS = 1024
KEY_TAIL = 8


@attrs.frozen
class Stream:
    """Calls of one team to one route.

    Attributes:
        team: Name of the team.
        route: Name of the route.
        importance: Class of importance, copied into the record.
        method: HTTP method.
        path: Path of the calls.
        rate: Mean arrivals per second.
        key: Key sent with each call, or "".
        targets: Addresses of caller ports, taken at random.
        start_s: Seconds after the start of the plan at which arrivals begin.
        end_s: Seconds after the start of the plan at which they end.
        retries: Repeats of a failed call by a caller that retries hard, at once and elsewhere.
        timeout_s: Time limit of one attempt.
        idempotent: True if all attempts of a call carry one Idempotency-Key.
    """

    team: str
    route: str
    importance: str
    method: str
    path: str
    rate: float
    key: str
    targets: tuple[str, ...]
    start_s: float
    end_s: float
    retries: int = 0
    timeout_s: float = 5.0
    idempotent: bool = False


@attrs.frozen
class Plan:
    """All streams of one load.

    Attributes:
        seed: Seed of the arrivals.
        streams: The streams.
        name: Begins the tags of all calls; unique among the loads of one fleet.
    """

    seed: int
    streams: tuple[Stream, ...]
    name: str = "load"


@attrs.frozen
class Attempt:
    """One attempt of one call; times are CLOCK_MONOTONIC in seconds, one for the machine.

    Attributes:
        tag: Names the call in all records.
        number: 1 for the first attempt.
        team: Name of the team.
        key: Last characters of the key, enough to tell keys apart.
        route: Name of the route.
        importance: Class of importance.
        target: Caller port asked.
        start: When it was sent.
        end: When it ended.
        status: HTTP status, 0 if there was no whole answer.
        verdict: Verdict header, or "".
        body: ``ok``, ``crossed`` if the answer is to another request, ``cut`` or ``none``.
        request_id: Id that the node gave the request, or "".
    """

    tag: str
    number: int
    team: str
    key: str
    route: str
    importance: str
    target: str
    start: float
    end: float
    status: int
    verdict: str
    body: str
    request_id: str


@attrs.frozen(order=True)
class Arrival:
    """An attempt that is due."""

    due: float
    tag: str
    number: int
    stream: Stream = attrs.field(order=False)


@attrs.define(eq=False)
class _Transfer:
    """An attempt under way."""

    arrival: Arrival
    target: str
    start: float
    body: io.BytesIO = attrs.field(factory=io.BytesIO)
    headers: dict[str, str] = attrs.field(factory=dict)

    def take_header(self, line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        self.headers[name.strip().lower()] = value.strip()


def arrivals(plan: Plan, start: float) -> list[Arrival]:
    """Returns all first attempts as a heap, the same for the same seed."""
    due = []
    for index, stream in enumerate(plan.streams):
        source = random.Random(f"{plan.seed}/{index}")
        at = stream.start_s + source.expovariate(stream.rate)
        number = 0
        while at < stream.end_s:
            number += 1
            due.append(Arrival(start + at, f"{plan.name}-{index}-{number}", 1, stream))
            at += source.expovariate(stream.rate)
    heapq.heapify(due)
    return due


class Load:
    """Sends the calls of a plan and records them."""

    def __init__(self, plan: Plan, sink: typing.TextIO) -> None:
        self._sink = sink
        self._random = random.Random(plan.seed)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAXCONNECTS, KEPT_CONNECTIONS)
        self._idle: collections.deque[pycurl.Curl] = collections.deque()
        self._under_way: dict[pycurl.Curl, _Transfer] = {}
        self._due = arrivals(plan, time.monotonic())

    def run(self) -> None:
        """Sends everything and returns after the last answer."""
        while self._due or self._under_way:
            now = time.monotonic()
            while self._due and self._due[0].due <= now:
                self._send(heapq.heappop(self._due), now)
            self._multi.perform()
            self._collect()
            wait_s = self._due[0].due - time.monotonic() if self._due else POLL_S
            self._multi.select(min(max(wait_s, 0.0), POLL_S))

    def _send(self, arrival: Arrival, now: float) -> None:
        stream = arrival.stream
        transfer = _Transfer(arrival, self._random.choice(stream.targets), now)
        curl = self._idle.popleft() if self._idle else pycurl.Curl()
        curl.reset()
        curl.setopt(pycurl.URL, f"http://{transfer.target}{stream.path}")
        curl.setopt(pycurl.CUSTOMREQUEST, stream.method)
        if stream.method in ("POST", "PUT", "PATCH"):
            curl.setopt(pycurl.POSTFIELDS, arrival.tag)
        curl.setopt(pycurl.HTTPHEADER, self._headers(arrival))
        curl.setopt(pycurl.WRITEFUNCTION, transfer.body.write)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.take_header)
        curl.setopt(pycurl.TIMEOUT_MS, int(stream.timeout_s * 1000))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.NOSIGNAL, 1)
        self._under_way[curl] = transfer
        self._multi.add_handle(curl)

    def _headers(self, arrival: Arrival) -> list[str]:
        headers = [f"{TAG_HEADER}: {arrival.tag}", "Expect:"]
        if arrival.stream.key:
            headers.append(f"Authorization: Bearer {arrival.stream.key}")
        if arrival.stream.idempotent:
            headers.append(f"{IDEMPOTENCY_HEADER}: {arrival.tag}")
        return headers

    def _collect(self) -> None:
        waiting = True
        while waiting:
            waiting, done, failed = self._multi.info_read()
            for curl in done:
                self._finish(curl, True)
            for curl, _, _ in failed:
                self._finish(curl, False)

    def _finish(self, curl: pycurl.Curl, whole: bool) -> None:
        transfer = self._under_way.pop(curl)
        status = curl.getinfo(pycurl.RESPONSE_CODE) if whole else 0
        self._multi.remove_handle(curl)
        self._idle.append(curl)
        attempt = self._attempt(transfer, status, whole)
        self._sink.write(json.dumps(attrs.asdict(attempt)) + "\n")
        arrival = transfer.arrival
        if status != 200 and arrival.number <= arrival.stream.retries:
            repeat = attrs.evolve(arrival, due=attempt.end, number=arrival.number + 1)
            heapq.heappush(self._due, repeat)

    def _attempt(self, transfer: _Transfer, status: int, whole: bool) -> Attempt:
        arrival, stream = transfer.arrival, transfer.arrival.stream
        return Attempt(
            tag=arrival.tag,
            number=arrival.number,
            team=stream.team,
            key=stream.key[-KEY_TAIL:],
            route=stream.route,
            importance=stream.importance,
            target=transfer.target,
            start=transfer.start,
            end=time.monotonic(),
            status=status,
            verdict=transfer.headers.get(VERDICT_HEADER, ""),
            body=_check_body(transfer, status, whole),
            request_id=transfer.headers.get(REQUEST_ID_HEADER, ""),
        )


def _check_body(transfer: _Transfer, status: int, whole: bool) -> str:
    if not whole:
        return "cut" if transfer.headers else "none"
    if status != 200:
        return "none"
    echoed = transfer.body.getvalue().partition(b" ")[0]
    return "ok" if echoed == transfer.arrival.tag.encode() else "crossed"


def read_plan(path: str) -> Plan:
    """Returns the plan that a JSON file holds."""
    return cattrs.structure(json.loads(pathlib.Path(path).read_text(encoding="utf-8")), Plan)


def read_record(path: str) -> list[Attempt]:
    """Returns the attempts that a record holds."""
    lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    return [cattrs.structure(json.loads(line), Attempt) for line in lines]


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_string("plan", None, "JSON file with the plan", required=True)
    flags.DEFINE_string("record", "/dev/stdout", "file for the record, one JSON line per attempt")


def main(_: list[str]) -> None:
    """Sends the load of the plan."""
    plan = read_plan(flags.FLAGS.plan)
    with open(flags.FLAGS.record, "a", buffering=1, encoding="utf-8") as sink:
        Load(plan, sink).run()


if __name__ == "__main__":
    define_flags()
    app.run(main)
