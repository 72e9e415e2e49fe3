"""Stand-in for an upstream: a server of one service, with faults that can be injected.

Run ``python -m standins.upstream --service booking --address 127.0.0.1:9100 --node
127.0.0.1:8001``. It announces itself to its node, sheds above its slots, works for the service
time, makes its calls, stops when its client leaves or the time is up, and drains on SIGTERM.

* ``POST /control`` takes a JSON object with any of the fields of `Control`.
* ``GET /record`` answers with the run record as JSON lines.
"""

import json
import os
import random
import threading
import time

import attrs
from absl import app, flags

from standins import announcer, dependencies, run_record, serving

TIMEOUT_HEADER = "Bergamotridge-Timeout-Ms"
VERDICT_HEADER = "Bergamotridge-Verdict"
NO_TIMEOUT_S = 60.0
COLD_FACTOR = 4.0
DRAIN_QUIET_S = 1.0
DRAIN_LIMIT_S = 20.0
POLL_S = 0.02


@attrs.define
class Control:
    """Injected faults.

    Attributes:
        service_ms: Own work of a call, in milliseconds.
        shed_rate: Share of calls shed although there is room.
        cut_answers: The next answers are cut in the middle of the body.
        late_ms: Milliseconds between the end of the work and the answer, whatever the timeout.
        load: Load that is announced instead of the true one.
        state: State that is announced instead of the true one.
        silent: No heartbeat is sent.
    """

    service_ms: float = 5.0
    shed_rate: float = 0.0
    cut_answers: int = 0
    late_ms: float = 0.0
    load: float | None = None
    state: str | None = None
    silent: bool = False


@attrs.frozen
class Shape:
    """What one upstream is: its service, size and calls."""

    service: str
    address: str
    slots: int = 50
    connections: int = 400
    cold_start_s: float = 0.0
    body_bytes: int = 500
    rules: tuple[dependencies.Rule, ...] = ()


class Upstream:
    """State shared by the connections of one upstream."""

    def __init__(
        self,
        shape: Shape,
        node: str,
        control: Control,
        record: run_record.RunRecord,
        seed: int = 1,
    ) -> None:
        self.shape = shape
        self.control = control
        self.record = record
        self.client = dependencies.Client(node)
        self.open_connections = 0
        self._incarnation = time.time_ns() // 1_000_000
        self._started = time.monotonic()
        self._state = "ready"
        self._running = 0
        self._last_run = 0.0
        self._lock = threading.Lock()
        self._random = random.Random(seed)
        self._announcer = announcer.Announcer(node, self.describe)

    def describe(self) -> dict | None:
        """Returns the announcement, or None while heartbeats are switched off."""
        control = self.control
        if control.silent:
            return None
        return {
            "service": self.shape.service,
            "address": self.shape.address,
            "state": control.state or self._state,
            "incarnation": self._incarnation,
            "slots": self.shape.slots,
            "connections": self.shape.connections,
            "load": self._running / self.shape.slots if control.load is None else control.load,
        }

    def change_control(self, changes: dict) -> Control:
        """Puts changed faults in force; raises TypeError on an unknown one."""
        with self._lock:
            self.control = attrs.evolve(self.control, **changes)
        return self.control

    def count_connection(self, change: int) -> None:
        """Counts an opened or closed connection."""
        with self._lock:
            self.open_connections += change

    def enter(self) -> bool:
        """Takes a slot; returns False if the call is to be shed."""
        with self._lock:
            shed = self._random.random() < self.control.shed_rate
            if shed or self._running >= self.shape.slots:
                return False
            self._running += 1
            return True

    def leave(self) -> None:
        """Gives a slot back."""
        with self._lock:
            self._running -= 1
            self._last_run = time.monotonic()

    def work_s(self, now: float) -> float:
        """Returns the seconds of own work of a call that starts at `now`."""
        work_s = self.control.service_ms / 1000
        warmth = (now - self._started) / self.shape.cold_start_s if self.shape.cold_start_s else 1.0
        return work_s * (1 + (COLD_FACTOR - 1) * max(0.0, 1 - warmth))

    def take_cut(self) -> bool:
        """Returns True if the present answer is to be cut."""
        with self._lock:
            if self.control.cut_answers <= 0:
                return False
            self.control.cut_answers -= 1
            return True

    def drain(self) -> None:
        """Announces the drain and returns once no call has run for a while."""
        self._state = "draining"
        self.record.note("draining")
        self._announcer.now(DRAIN_QUIET_S)
        started = self._last_run = time.monotonic()
        while time.monotonic() < started + DRAIN_LIMIT_S:
            if not self._running and time.monotonic() > self._last_run + DRAIN_QUIET_S:
                break
            time.sleep(POLL_S)
        self.record.note("stopped")


class Handler(serving.Handler):
    """One connection to an upstream."""

    upstream: Upstream

    def setup(self) -> None:
        """Counts the connection."""
        super().setup()
        self.upstream.count_connection(1)

    def finish(self) -> None:
        """Counts the end of the connection."""
        self.upstream.count_connection(-1)
        super().finish()

    def do_GET(self) -> None:  # noqa: N802
        """Answers with the record or runs a call."""
        if self.path == "/record":
            self.answer(200, self.upstream.record.lines())
        else:
            self._call()

    def do_POST(self) -> None:  # noqa: N802
        """Changes the injected faults or runs a call."""
        if self.path == "/control":
            self._control()
        else:
            self._call()

    do_PUT = do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = do_GET  # noqa: N815

    def _control(self) -> None:
        try:
            control = self.upstream.change_control(json.loads(self.read_body()))
        except (TypeError, ValueError) as error:
            self.answer_json(400, {"error": str(error)})
        else:
            self.answer_json(200, attrs.asdict(control))

    def _call(self) -> None:
        self.read_body()
        if self.upstream.open_connections > self.upstream.shape.connections:
            self.close_connection = True
            self._shed("connections")
        elif not self.upstream.enter():
            self._shed("slots")
        else:
            try:
                self._run()
            finally:
                self.upstream.leave()

    def _shed(self, cause: str) -> None:
        tag = self.headers.get(dependencies.TAG_HEADER, "")
        self.upstream.record.shed(tag, self.command, self.path)
        self.answer(503, cause.encode(), {VERDICT_HEADER: "not-run", "Retry-After": "1"})

    def _run(self) -> None:
        now = time.monotonic()
        timeout_ms = self.headers.get(TIMEOUT_HEADER)
        deadline = now + (NO_TIMEOUT_S if timeout_ms is None else float(timeout_ms) / 1000)
        tag = self.headers.get(dependencies.TAG_HEADER, "")
        key_seen = "Authorization" in self.headers
        run = self.upstream.record.start(tag, self.command, self.path, key_seen)
        try:
            status = self._work(tag, now, deadline)
        except dependencies.ClientLeftError:
            self.upstream.record.end(run, "cancelled")
            self.cut_connection()
        except dependencies.DeadlineError:
            self.upstream.record.end(run, "deadline")
            self.answer(504, b"deadline")
        else:
            self.upstream.record.end(run, "ok" if status == 200 else "failed")
            time.sleep(self.upstream.control.late_ms / 1000)
            self._answer_run(status, tag)

    def _work(self, tag: str, now: float, deadline: float) -> int:
        work_s = self.upstream.work_s(now)
        if self.client_left(min(work_s, deadline - now)):
            raise dependencies.ClientLeftError
        if now + work_s > deadline:
            raise dependencies.DeadlineError
        for call in self._calls():
            answer = self.upstream.client.call(
                call, self.headers.get(dependencies.CALL_HEADER, ""), tag, deadline, self.connection
            )
            if answer.status != 200:
                return 503
            if not answer.body.startswith(tag.encode()):
                return 500
        return 200

    def _calls(self) -> list[dependencies.Call]:
        return [
            call
            for rule in self.upstream.shape.rules
            if rule.matches(self.command, self.path)
            for call in rule.calls
        ]

    def _answer_run(self, status: int, tag: str) -> None:
        body = f"{tag} {self.upstream.shape.service} ".encode()
        body = body.ljust(self.upstream.shape.body_bytes, b".")
        if self.upstream.take_cut():
            self.send_response_only(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body[: len(body) // 2])
            self.cut_connection()
        else:
            self.answer(status, body)


def start(upstream: Upstream) -> serving.Server:
    """Starts the server of `upstream` on threads of this process."""
    handler = type("BoundHandler", (Handler,), {"upstream": upstream})
    server = serving.Server(upstream.shape.address, handler)
    server.start()
    return server


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_string("service", "booking", "name of the service")
    flags.DEFINE_string("address", "127.0.0.1:9100", "IP:PORT to listen on")
    flags.DEFINE_string("node", "127.0.0.1:8001", "the node's port for its upstream")
    flags.DEFINE_integer("slots", 50, "calls at once; more are shed")
    flags.DEFINE_integer("connections", 400, "connections at once; more are closed")
    flags.DEFINE_float("service_ms", 5.0, "own work of a call, in milliseconds")
    flags.DEFINE_float(
        "cold_start_s", 0.0, "seconds in which the service time falls from four times to once"
    )
    flags.DEFINE_multi_string(
        "calls", [], "calls made in a request: 'POST /a > GET /b, POST /c', or 'GET /b' for all"
    )
    flags.DEFINE_integer("body_bytes", 500, "size of an answer's body")
    flags.DEFINE_string("record", "", "file that keeps the run record as well")
    flags.DEFINE_integer("seed", 1, "seed of the injected faults")


def main(_: list[str]) -> None:
    """Serves until SIGTERM, then drains."""
    given = flags.FLAGS
    shape = Shape(
        service=given.service,
        address=given.address,
        slots=given.slots,
        connections=given.connections,
        cold_start_s=given.cold_start_s,
        body_bytes=given.body_bytes,
        rules=tuple(dependencies.parse(given.calls)),
    )
    with open(given.record or os.devnull, "a", buffering=1, encoding="utf-8") as sink:
        record = run_record.RunRecord(shape.service, shape.address, sink)
        upstream = Upstream(shape, given.node, Control(given.service_ms), record, given.seed)
        server = start(upstream)
        serving.wait_for_stop()
        upstream.drain()
        server.server_close()


if __name__ == "__main__":
    define_flags()
    app.run(main)
