"""Load generator: open-loop arrivals of calls at given rates, with a record of each attempt.

Run ``python -m standins.load --plan plan.json --record trace.jsonl``. The plan is the JSON form of
`Plan`. Arrival times come from a seeded random generator and do not wait for responses, as with
independent callers. The record has one JSON line for each attempt (`Attempt`), which is also the
form of a recorded trace.
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
POLL_INTERVAL_S = 0.005
CONNECT_TIMEOUT_MS = 2000
MAX_KEPT_CONNECTIONS = 1024
RECORDED_KEY_CHARS = 8


@attrs.frozen
class Stream:
    """Calls of one team to one route, with Poisson arrivals.

    Attributes:
        team: Name of the team.
        route: Name of the route.
        importance: Class of importance of the route; only copied into the record.
        method: HTTP method.
        path: Path of the calls.
        rate: Mean arrivals per second.
        key: Key sent with each call, or "".
        targets: Addresses of caller ports; each attempt goes to one chosen at random.
        start_s: Seconds after the start of the plan at which arrivals begin.
        end_s: Seconds after the start of the plan at which they end.
        retries: Times that a failed call is retried, without backoff and at a newly chosen target.
        timeout_s: Time limit of one attempt in seconds.
        idempotent: True if all attempts of a call carry the same Idempotency-Key.
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
        seed: Seed of the arrival times and of the choice of targets.
        streams: The streams.
        name: Prefix of the tags of all calls; unique among the loads of one fleet.
    """

    seed: int
    streams: tuple[Stream, ...]
    name: str = "load"


@attrs.frozen
class Attempt:
    """One attempt of one call; times are CLOCK_MONOTONIC in seconds, comparable machine-wide.

    Attributes:
        tag: Identifies the call in all records.
        number: Number of the attempt, 1 for the first.
        team: Name of the team.
        key: Last `RECORDED_KEY_CHARS` characters of the key, enough to tell keys apart.
        route: Name of the route.
        importance: Class of importance.
        target: Address of the caller port that it was sent to.
        start: Time at which it was sent.
        end: Time at which it ended.
        status: HTTP status, 0 if there was no complete response.
        verdict: Value of the verdict header, or "".
        body: ``ok``; ``crossed`` if the response belongs to another request; ``cut`` if it is
            incomplete; ``none`` if there is no response or its status is not 200.
        request_id: Id that the node assigned to the request, or "".
        error: Why there was no complete response, or "".
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
    error: str = ""


@attrs.frozen(order=True)
class Arrival:
    """An attempt that is scheduled for the monotonic time `due`, in seconds."""

    due: float
    tag: str
    number: int
    stream: Stream = attrs.field(order=False)


@attrs.define(eq=False)
class _Transfer:
    """An attempt in flight."""

    arrival: Arrival
    target: str
    start: float
    body: io.BytesIO = attrs.field(factory=io.BytesIO)
    headers: dict[str, str] = attrs.field(factory=dict)

    def store_header_line(self, line: bytes) -> None:
        name, _, value = line.decode("latin-1").partition(":")
        self.headers[name.strip().lower()] = value.strip()


def schedule_arrivals(plan: Plan, start: float) -> list[Arrival]:
    """Returns the first attempts of all calls as a heap, the same for the same seed.

    Args:
        plan: The plan.
        start: Monotonic time in seconds at which the plan starts.
    """
    scheduled = []
    for index, stream in enumerate(plan.streams):
        rng = random.Random(f"{plan.seed}/{index}")
        arrival_s = stream.start_s + rng.expovariate(stream.rate)
        number = 0
        while arrival_s < stream.end_s:
            number += 1
            scheduled.append(Arrival(start + arrival_s, f"{plan.name}-{index}-{number}", 1, stream))
            arrival_s += rng.expovariate(stream.rate)
    heapq.heapify(scheduled)
    return scheduled


class LoadGenerator:
    """Sends the calls of a plan and writes a record line for each attempt."""

    def __init__(self, plan: Plan, sink: typing.TextIO) -> None:
        self._sink = sink
        self._random = random.Random(plan.seed)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_KEPT_CONNECTIONS)
        self._idle_handles: collections.deque[pycurl.Curl] = collections.deque()
        self._transfers: dict[pycurl.Curl, _Transfer] = {}
        self._scheduled = schedule_arrivals(plan, time.monotonic())

    def run(self) -> None:
        """Sends all calls and returns after the last response."""
        while self._scheduled or self._transfers:
            now = time.monotonic()
            while self._scheduled and self._scheduled[0].due <= now:
                self._send(heapq.heappop(self._scheduled), now)
            self._multi.perform()
            self._finish_transfers()
            wait_s = (
                self._scheduled[0].due - time.monotonic() if self._scheduled else POLL_INTERVAL_S
            )
            self._multi.select(min(max(wait_s, 0.0), POLL_INTERVAL_S))

    def _send(self, arrival: Arrival, now: float) -> None:
        stream = arrival.stream
        transfer = _Transfer(arrival, self._random.choice(stream.targets), now)
        curl = self._idle_handles.popleft() if self._idle_handles else pycurl.Curl()
        curl.reset()
        curl.setopt(pycurl.URL, f"http://{transfer.target}{stream.path}")
        curl.setopt(pycurl.CUSTOMREQUEST, stream.method)
        if stream.method in ("POST", "PUT", "PATCH"):
            curl.setopt(pycurl.POSTFIELDS, arrival.tag)
        curl.setopt(pycurl.HTTPHEADER, self._headers(arrival))
        curl.setopt(pycurl.WRITEFUNCTION, transfer.body.write)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.store_header_line)
        curl.setopt(pycurl.TIMEOUT_MS, int(stream.timeout_s * 1000))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.NOSIGNAL, 1)
        self._transfers[curl] = transfer
        self._multi.add_handle(curl)

    def _headers(self, arrival: Arrival) -> list[str]:
        headers = [f"{TAG_HEADER}: {arrival.tag}", "Expect:"]
        if arrival.stream.key:
            headers.append(f"Authorization: Bearer {arrival.stream.key}")
        if arrival.stream.idempotent:
            headers.append(f"{IDEMPOTENCY_HEADER}: {arrival.tag}")
        return headers

    def _finish_transfers(self) -> None:
        messages_left = True
        while messages_left:
            messages_left, done, failed = self._multi.info_read()
            for curl in done:
                self._finish_transfer(curl, "")
            for curl, _, message in failed:
                self._finish_transfer(curl, message)

    def _finish_transfer(self, curl: pycurl.Curl, error: str) -> None:
        transfer = self._transfers.pop(curl)
        status = 0 if error else curl.getinfo(pycurl.RESPONSE_CODE)
        self._multi.remove_handle(curl)
        self._idle_handles.append(curl)
        attempt = self._build_attempt(transfer, status, error)
        self._sink.write(json.dumps(attrs.asdict(attempt)) + "\n")
        arrival = transfer.arrival
        if status != 200 and arrival.number <= arrival.stream.retries:
            retry = attrs.evolve(arrival, due=attempt.end, number=arrival.number + 1)
            heapq.heappush(self._scheduled, retry)

    def _build_attempt(self, transfer: _Transfer, status: int, error: str) -> Attempt:
        arrival, stream = transfer.arrival, transfer.arrival.stream
        return Attempt(
            tag=arrival.tag,
            number=arrival.number,
            team=stream.team,
            key=stream.key[-RECORDED_KEY_CHARS:],
            route=stream.route,
            importance=stream.importance,
            target=transfer.target,
            start=transfer.start,
            end=time.monotonic(),
            status=status,
            verdict=transfer.headers.get(VERDICT_HEADER, ""),
            body=_classify_body(transfer, status, is_complete=not error),
            request_id=transfer.headers.get(REQUEST_ID_HEADER, ""),
            error=error,
        )


def _classify_body(transfer: _Transfer, status: int, is_complete: bool) -> str:
    if not is_complete:
        return "cut" if transfer.headers else "none"
    if status != 200:
        return "none"
    echoed_tag = transfer.body.getvalue().partition(b" ")[0]
    return "ok" if echoed_tag == transfer.arrival.tag.encode() else "crossed"


def read_plan(path: str) -> Plan:
    """Reads a plan from a JSON file."""
    return cattrs.structure(json.loads(pathlib.Path(path).read_text(encoding="utf-8")), Plan)


def read_record(path: str) -> list[Attempt]:
    """Reads the attempts from a record; an incomplete last line is left out."""
    text = pathlib.Path(path).read_text(encoding="utf-8")
    complete_lines, _, _ = text.rpartition("\n")
    return [cattrs.structure(json.loads(line), Attempt) for line in complete_lines.splitlines()]


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_string("plan", None, "JSON file with the plan", required=True)
    flags.DEFINE_string(
        "record", "/dev/stdout", "file to which the record is appended, one JSON line per attempt"
    )


def main(_: list[str]) -> None:
    """Sends the load of the plan."""
    plan = read_plan(flags.FLAGS.plan)
    with open(flags.FLAGS.record, "a", buffering=1, encoding="utf-8") as sink:
        LoadGenerator(plan, sink).run()


if __name__ == "__main__":
    define_flags()
    app.run(main)
