"""Stand-in for an upstream: a server of one service, with faults that can be injected.

Run ``python -m standins.upstream --service booking --address 127.0.0.1:9100 --node
127.0.0.1:8001``. It announces itself to its node and sheds calls when all slots are taken. A call
takes the service time, then calls the dependencies, and is cancelled when its client disconnects or
its deadline passes. On SIGTERM the upstream drains.

* ``POST /control`` takes a JSON object with any of the fields of `Control`.
* ``GET /record`` returns the run record as JSON lines.
"""

import json
import os
import random
import threading
import time

import attrs
from absl import app, flags

from standins import announcer, dependencies, endless, run_record, serving

TIMEOUT_HEADER = "Bergamotridge-Timeout-Ms"
VERDICT_HEADER = "Bergamotridge-Verdict"
RATE_LIMIT_HEADER = "Bergamotridge-Rate-Limit"
LEAVING_HEADER = "Bergamotridge-Leaving"
DEFAULT_TIMEOUT_S = 60.0
COLD_START_FACTOR = 4.0
DRAIN_QUIET_PERIOD_S = 1.0
DRAIN_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
CRASH_EXIT_CODE = 70


@attrs.define
class Control:
    """Injected faults.

    Attributes:
        service_ms: Service time of a call without its calls to dependencies, in milliseconds.
        shed_rate: Probability, 0 to 1, that a call is shed although a slot is free.
        cut_answers: Number of coming responses that end in the middle of the body.
        late_ms: Milliseconds between the end of a run and its response, even past the timeout.
        load: Load that is announced instead of the true one, None for the true one.
        state: State that is announced instead of the true one, None for the true one.
        silent: True to send no heartbeats.
        rate_limit: Calls per second that its answers name as its limit, which it does not enforce;
            None to name none.
        leaving: True if its answers say that it is about to stop.
        endless: Part of a response, one of `endless.Part`, that goes on until its client closes
            the connection; "" for complete responses.
        status: Status of the responses to calls that have run; 0 for the true one.
        mute_when_full: True to send no response at all to calls for which there is no slot, nor to
            anything that follows on their connections, in place of shedding them.
    """

    service_ms: float = 5.0
    shed_rate: float = 0.0
    cut_answers: int = 0
    late_ms: float = 0.0
    load: float | None = None
    state: str | None = None
    silent: bool = False
    rate_limit: float | None = None
    leaving: bool = False
    endless: str = ""
    status: int = 0
    mute_when_full: bool = False


@attrs.frozen
class Settings:
    """Settings of one upstream.

    Attributes:
        service: Name of its service.
        address: IP:PORT to listen on.
        slots: Calls that it runs at once; more are shed.
        connections: Connections that it keeps open at once; calls on further ones are shed.
        cold_start_s: Seconds after the start in which the service time falls to its normal value.
        body_bytes: Size of a response body in bytes.
        rules: Calls to dependencies.
        crash_on: Query of the calls that end the process without an answer, after the service time;
            "" for none.
    """

    service: str
    address: str
    slots: int = 50
    connections: int = 400
    cold_start_s: float = 0.0
    body_bytes: int = 500
    rules: tuple[dependencies.Rule, ...] = ()
    crash_on: str = ""


class Upstream:
    """State shared by the connections of one upstream."""

    def __init__(
        self,
        settings: Settings,
        node: str,
        control: Control,
        record: run_record.RunRecord,
        seed: int = 1,
    ) -> None:
        self.settings = settings
        self.control = control
        self.record = record
        self.client = dependencies.Client(node)
        self.open_connections = 0
        self._incarnation = time.time_ns() // 1_000_000
        self._started_at = time.monotonic()
        self._state = "ready"
        self._running = 0
        self._last_run_ended_at = 0.0
        self._lock = threading.Lock()
        self._random = random.Random(seed)
        self._announcer = announcer.Announcer(node, self.build_announcement)

    def build_announcement(self) -> dict | None:
        """Returns the announcement for the node, or None while heartbeats are switched off."""
        control = self.control
        if control.silent:
            return None
        return {
            "service": self.settings.service,
            "address": self.settings.address,
            "state": control.state or self._state,
            "incarnation": self._incarnation,
            "slots": self.settings.slots,
            "connections": self.settings.connections,
            "load": self._running / self.settings.slots if control.load is None else control.load,
        }

    def change_control(self, changes: dict) -> Control:
        """Sets the given faults and returns all; raises TypeError on an unknown field."""
        with self._lock:
            self.control = attrs.evolve(self.control, **changes)
        return self.control

    def count_connection(self, change: int) -> None:
        """Adds `change` to the number of open connections: 1 when opened, -1 when closed."""
        with self._lock:
            self.open_connections += change

    def acquire_slot(self) -> bool:
        """Takes a slot and returns True, or returns False if the call must be shed."""
        with self._lock:
            shed = self._random.random() < self.control.shed_rate
            if shed or self._running >= self.settings.slots:
                return False
            self._running += 1
            return True

    def release_slot(self) -> None:
        """Releases the slot of a call that has ended."""
        with self._lock:
            self._running -= 1
            self._last_run_ended_at = time.monotonic()

    def compute_work_s(self, now: float) -> float:
        """Returns the service time in seconds of a call that starts at `now`.

        During a cold start it falls linearly from `COLD_START_FACTOR` times the normal value.
        """
        work_s = self.control.service_ms / 1000
        warm_fraction = (
            (now - self._started_at) / self.settings.cold_start_s
            if self.settings.cold_start_s
            else 1.0
        )
        return work_s * (1 + (COLD_START_FACTOR - 1) * max(0.0, 1 - warm_fraction))

    def consume_cut(self) -> bool:
        """Returns True, and decrements the fault, if this response must be cut."""
        with self._lock:
            if self.control.cut_answers <= 0:
                return False
            self.control.cut_answers -= 1
            return True

    def drain(self) -> None:
        """Announces the draining state; returns after `DRAIN_QUIET_PERIOD_S` without calls.

        Returns after `DRAIN_TIMEOUT_S` even if calls still run.
        """
        self._state = "draining"
        self.record.add_event("draining")
        self._announcer.announce_now(DRAIN_QUIET_PERIOD_S)
        started = self._last_run_ended_at = time.monotonic()
        while time.monotonic() < started + DRAIN_TIMEOUT_S:
            if (
                not self._running
                and time.monotonic() > self._last_run_ended_at + DRAIN_QUIET_PERIOD_S
            ):
                break
            time.sleep(POLL_INTERVAL_S)
        self.record.add_event("stopped")


class Handler(serving.Handler):
    """Handles the requests of one connection to an upstream."""

    upstream: Upstream

    def setup(self) -> None:
        """Counts the connection as open."""
        super().setup()
        self.upstream.count_connection(1)

    def finish(self) -> None:
        """Counts the connection as closed."""
        self.upstream.count_connection(-1)
        super().finish()

    def do_GET(self) -> None:  # noqa: N802
        """Returns the run record or runs a call."""
        if self.path == "/record":
            self.answer(200, self.upstream.record.to_json_lines())
        else:
            self._handle_call()

    def do_POST(self) -> None:  # noqa: N802
        """Changes the injected faults or runs a call."""
        if self.path == "/control":
            self._change_control()
        else:
            self._handle_call()

    do_PUT = do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = do_GET  # noqa: N815

    def send_response_only(self, code: int, message: str | None = None) -> None:
        """Sends the status line, what the upstream says of itself, and the id of the call."""
        super().send_response_only(code, message)
        control = self.upstream.control
        if control.rate_limit is not None:
            self.send_header(RATE_LIMIT_HEADER, str(control.rate_limit))
        if control.leaving:
            self.send_header(LEAVING_HEADER, "1")
        call_id = self.headers.get(dependencies.CALL_HEADER)
        if call_id is not None:
            self.send_header(dependencies.CALL_HEADER, call_id)

    def _change_control(self) -> None:
        try:
            control = self.upstream.change_control(json.loads(self.read_body()))
        except (TypeError, ValueError) as error:
            self.answer_json(400, {"error": str(error)})
        else:
            self.answer_json(200, attrs.asdict(control))

    def _handle_call(self) -> None:
        self.read_body()
        if self.upstream.open_connections > self.upstream.settings.connections:
            self.close_connection = True
            self._answer_shed("connections")
        elif not self.upstream.acquire_slot():
            if self.upstream.control.mute_when_full:
                self._stay_mute()
            else:
                self._answer_shed("slots")
        else:
            try:
                self._run_call()
            finally:
                self.upstream.release_slot()

    def _answer_shed(self, cause: str) -> None:
        tag = self.headers.get(dependencies.TAG_HEADER, "")
        self.upstream.record.shed(tag, self.command, self.path)
        self.answer(503, cause.encode(), {VERDICT_HEADER: "not-run", "Retry-After": "1"})

    def _stay_mute(self) -> None:
        """Sends nothing until the client closes the connection."""
        self.upstream.record.add_event("muted")
        self.wait_for_disconnect(DEFAULT_TIMEOUT_S)
        self.cut_connection()

    def _run_call(self) -> None:
        now = time.monotonic()
        timeout_ms = self.headers.get(TIMEOUT_HEADER)
        deadline = now + (DEFAULT_TIMEOUT_S if timeout_ms is None else float(timeout_ms) / 1000)
        tag = self.headers.get(dependencies.TAG_HEADER, "")
        key_seen = "Authorization" in self.headers
        run = self.upstream.record.start(tag, self.command, self.path, key_seen)
        try:
            status = self._perform_call(tag, now, deadline)
        except dependencies.ClientDisconnectedError:
            self.upstream.record.end(run, "cancelled")
            self.cut_connection()
        except dependencies.DeadlineExceededError:
            self.upstream.record.end(run, "deadline")
            self.answer(504, b"deadline")
        else:
            self.upstream.record.end(run, "ok" if status == 200 else "failed")
            time.sleep(self.upstream.control.late_ms / 1000)
            self._answer_result(self.upstream.control.status or status, tag)

    def _perform_call(self, tag: str, now: float, deadline: float) -> int:
        work_s = self.upstream.compute_work_s(now)
        if self.wait_for_disconnect(min(work_s, deadline - now)):
            raise dependencies.ClientDisconnectedError
        if now + work_s > deadline:
            raise dependencies.DeadlineExceededError
        query = self.path.partition("?")[2]
        if query and query == self.upstream.settings.crash_on:
            os._exit(CRASH_EXIT_CODE)
        for call in self._dependency_calls():
            answer = self.upstream.client.call(
                call, self.headers.get(dependencies.CALL_HEADER, ""), tag, deadline, self.connection
            )
            if answer.status != 200:
                return 503
            if not answer.body.startswith(tag.encode()):
                return 500
        return 200

    def _dependency_calls(self) -> list[dependencies.Call]:
        return [
            call
            for rule in self.upstream.settings.rules
            if rule.matches(self.command, self.path)
            for call in rule.calls
        ]

    def _answer_result(self, status: int, tag: str) -> None:
        body = f"{tag} {self.upstream.settings.service} ".encode()
        body = body.ljust(self.upstream.settings.body_bytes, b".")
        if self.upstream.control.endless:
            self._pour(status)
        elif self.upstream.consume_cut():
            self.send_response_only(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body[: len(body) // 2])
            self.cut_connection()
        else:
            self.answer(status, body)

    def _pour(self, status: int) -> None:
        """Sends a response without end, until the client closes the connection."""
        part = endless.Part(self.upstream.control.endless)
        piece = endless.make_piece(part)
        try:
            self.wfile.write(endless.start_response(part, status))
            while True:
                self.wfile.write(piece)
        except OSError:
            self.upstream.record.add_event("poured")
            self.close_connection = True


def start(upstream: Upstream) -> serving.Server:
    """Starts the server of `upstream` in threads of this process."""
    handler = type("BoundHandler", (Handler,), {"upstream": upstream})
    server = serving.Server(upstream.settings.address, handler)
    server.start()
    return server


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_string("service", "booking", "name of the service")
    flags.DEFINE_string("address", "127.0.0.1:9100", "IP:PORT to listen on")
    flags.DEFINE_string("node", "127.0.0.1:8001", "IP:PORT of the node for its local upstream")
    flags.DEFINE_integer("slots", 50, "calls run at once; more are shed")
    flags.DEFINE_integer("connections", 400, "connections at once; more are shed and closed")
    flags.DEFINE_float("service_ms", 5.0, "own service time of a call, in milliseconds")
    flags.DEFINE_float(
        "cold_start_s",
        0.0,
        "seconds in which the service time falls from four times to once its value",
    )
    flags.DEFINE_multi_string(
        "calls",
        [],
        "calls to dependencies: 'POST /a > GET /b, POST /c', or 'GET /b' for all requests",
    )
    flags.DEFINE_integer("body_bytes", 500, "size of a response body in bytes")
    flags.DEFINE_string("crash_on", "", "query of the calls that end the process")
    flags.DEFINE_string("record", "", "file to which the run record is also written")
    flags.DEFINE_integer("seed", 1, "seed of the random choice of shed calls")


def main(_: list[str]) -> None:
    """Serves until SIGTERM, then drains."""
    stop_signal = serving.StopSignal()
    flag_values = flags.FLAGS
    settings = Settings(
        service=flag_values.service,
        address=flag_values.address,
        slots=flag_values.slots,
        connections=flag_values.connections,
        cold_start_s=flag_values.cold_start_s,
        body_bytes=flag_values.body_bytes,
        rules=tuple(dependencies.parse_rules(flag_values.calls)),
        crash_on=flag_values.crash_on,
    )
    with open(flag_values.record or os.devnull, "a", buffering=1, encoding="utf-8") as sink:
        record = run_record.RunRecord(settings.service, settings.address, sink)
        upstream = Upstream(
            settings, flag_values.node, Control(flag_values.service_ms), record, flag_values.seed
        )
        server = start(upstream)
        stop_signal.wait()
        upstream.drain()
        server.server_close()


if __name__ == "__main__":
    define_flags()
    app.run(main)
