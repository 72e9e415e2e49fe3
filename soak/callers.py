"""Callers that keep their connections open until the node closes them or its process is gone.

Run ``python -m soak.callers --callers callers.json --record trace.jsonl``. Each caller is a thread
that sends one request after another, also late in a planned stop of its node. The record has one
line for each attempt, in the form of `standins.load.Attempt`. On SIGTERM the callers send no
further requests, and the process ends when all have their answers.
"""

import concurrent.futures
import contextlib
import http.client
import json
import pathlib
import random
import select
import socket
import threading
import time
import typing

import attrs
import cattrs
from absl import app, flags

from soak import plan
from standins import load, serving

CONNECT_TIMEOUT_S = 2.0
REFUSED_PAUSE_S = 0.1  # After an attempt to connect to a node that does not listen.
TCP_CLOSE = 7  # State of a connection that was reset, in the kernel's numbering.
BODY_BYTES = 500  # Of each good answer of an upstream.
KEYED_SUFFIX = " keyed"  # Of the route in the record, for calls with an Idempotency-Key.


@attrs.frozen
class Assignment:
    """One caller with what it needs to send its calls.

    Attributes:
        caller: The caller.
        seed: Seed of its pauses.
        key: Its API key.
        address: Address of the caller port that it calls.
        other_addresses: Addresses for retries.
    """

    caller: plan.Caller
    seed: int
    key: str
    address: str
    other_addresses: tuple[str, ...]


@attrs.frozen
class Reply:
    """What a caller got for one request; see `standins.load.Attempt` for `error`.

    Attributes:
        status: HTTP status, 0 if there was no complete response.
        verdict: Value of the verdict header, or "".
        request_id: Id that the node assigned to the request, or "".
        body: The body.
        error: ``timeout``; ``reset`` if the node's process had not read the whole request when the
            connection ended; ``closed`` if it had, and ended the connection without a response;
            ``closed-early`` if the connection ended before the request was sent; ``incomplete`` if
            it ended within the response.
    """

    status: int = 0
    verdict: str = ""
    request_id: str = ""
    body: bytes = b""
    error: str = ""


class Record:
    """Writes attempts to a file, from several threads."""

    def __init__(self, sink: typing.TextIO) -> None:
        self._sink = sink
        self._lock = threading.Lock()

    def write(self, attempt: load.Attempt) -> None:
        """Writes one attempt."""
        line = json.dumps(attrs.asdict(attempt)) + "\n"
        with self._lock:
            self._sink.write(line)


class KeptConnection:
    """A connection to one node that is opened when it is needed and kept until it ends."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._socket: socket.socket | None = None

    def open(self) -> None:
        """Opens the connection unless it is open; raises OSError if the node does not accept it."""
        if self._socket is None:
            host, _, port = self._address.rpartition(":")
            self._socket = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self) -> None:
        """Closes the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def exchange(self, method: str, request: bytes, timeout_s: float) -> Reply:
        """Sends one request and returns the reply.

        Args:
            method: HTTP method of the request.
            request: The serialized request.
            timeout_s: Longest pause between two pieces of the response, in seconds.
        """
        if self._has_ended():
            return self._fail("closed-early")
        self._socket.settimeout(timeout_s)
        try:
            # One write, so that a node which closes the connection without having read all of it
            # resets the connection.
            self._socket.sendall(request)
            response = http.client.HTTPResponse(self._socket, method=method)
            response.begin()
            body = response.read()
        except TimeoutError:
            return self._fail("timeout")
        except http.client.RemoteDisconnected:
            return self._fail("reset" if self._was_reset() else "closed")
        except http.client.HTTPException:
            return self._fail("incomplete")
        except OSError:
            return self._fail("reset")
        if response.will_close:
            self.close()
        return Reply(
            response.status,
            response.getheader(load.VERDICT_HEADER, ""),
            response.getheader(load.REQUEST_ID_HEADER, ""),
            body,
        )

    def _has_ended(self) -> bool:
        poll = select.poll()
        poll.register(self._socket, select.POLLRDHUP | select.POLLHUP)
        return bool(poll.poll(0))

    def _was_reset(self) -> bool:
        """Returns True if a reset followed the end, as data came to a socket that was closed."""
        return self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE

    def _fail(self, error: str) -> Reply:
        self.close()
        return Reply(error=error)


class KeptCaller:
    """One caller; `run` sends its calls until `stopping` is set."""

    def __init__(self, assignment: Assignment, record: Record, stopping: threading.Event) -> None:
        self._assignment = assignment
        self._caller = assignment.caller
        self._record = record
        self._stopping = stopping
        self._random = random.Random(f"{assignment.seed}/{assignment.caller.name}")
        self._connection = KeptConnection(assignment.address)

    def run(self) -> None:
        """Sends calls, one after another."""
        number = 0
        while not self._stopping.wait(self._random.expovariate(1 / self._caller.pause_s)):
            number += 1
            self._call(f"{self._caller.name}-{number}")
        self._connection.close()

    def _call(self, tag: str) -> None:
        assignment = self._assignment
        status = self._attempt(self._connection, assignment.address, tag, 1)
        for number in range(2, 2 + self._caller.retries):
            if status == http.client.OK:
                return
            address = self._random.choice(assignment.other_addresses)
            with contextlib.closing(KeptConnection(address)) as connection:
                status = self._attempt(connection, address, tag, number)

    def _attempt(self, connection: KeptConnection, address: str, tag: str, number: int) -> int:
        """Sends one attempt and returns its status, 0 if there was no complete response."""
        caller, start = self._caller, time.monotonic()
        try:
            connection.open()
        except OSError:
            self._stopping.wait(REFUSED_PAUSE_S)
            return 0
        reply = connection.exchange(caller.method, self._serialize(tag), caller.timeout_s)
        attempt = load.Attempt(
            tag=tag,
            number=number,
            team=caller.team,
            key=self._assignment.key[-load.RECORDED_KEY_CHARS :],
            route=f"{caller.method} {caller.path}{KEYED_SUFFIX if caller.retries else ''}",
            importance="",
            target=address,
            start=start,
            end=time.monotonic(),
            status=reply.status,
            verdict=reply.verdict,
            body=classify_body(reply, tag),
            request_id=reply.request_id,
            error=reply.error,
        )
        self._record.write(attempt)
        return reply.status

    def _serialize(self, tag: str) -> bytes:
        caller = self._caller
        body = tag if caller.method == "POST" else ""
        lines = [
            f"{caller.method} {caller.path} HTTP/1.1",
            f"Host: {self._assignment.address}",
            f"Authorization: Bearer {self._assignment.key}",
            f"{load.TAG_HEADER}: {tag}",
            f"Content-Length: {len(body)}",
        ]
        if caller.retries:
            lines.append(f"{load.IDEMPOTENCY_HEADER}: {tag}")
        return "\r\n".join([*lines, "", body]).encode()


def classify_body(reply: Reply, tag: str) -> str:
    """Returns the value of the attribute `body` of `standins.load.Attempt`."""
    if reply.error:
        return "cut" if reply.error == "incomplete" else "none"
    if reply.status != http.client.OK:
        return "none"
    if reply.body.partition(b" ")[0] != tag.encode():
        return "crossed"
    return "ok" if len(reply.body) == BODY_BYTES else "cut"


def run_callers(assignments: list[Assignment], record: Record, stopping: threading.Event) -> None:
    """Runs all callers, each in a thread, until `stopping` is set and all have their answers."""
    with concurrent.futures.ThreadPoolExecutor(len(assignments)) as pool:
        running = [
            pool.submit(KeptCaller(assignment, record, stopping).run) for assignment in assignments
        ]
        for future in running:
            future.result()


def write_assignments(path: pathlib.Path, assignments: list[Assignment]) -> None:
    """Writes assignments to a JSON file."""
    path.write_text(json.dumps([attrs.asdict(item) for item in assignments]), encoding="utf-8")


def read_assignments(path: str) -> list[Assignment]:
    """Reads assignments from a JSON file."""
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return cattrs.structure(json.loads(text), list[Assignment])


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_string("callers", None, "JSON file with the callers", required=True)
    flags.DEFINE_string("record", None, "file to which the record is appended", required=True)


def main(_: list[str]) -> None:
    """Runs the callers until SIGTERM."""
    stop_signal, stopping = serving.StopSignal(), threading.Event()
    assignments = read_assignments(flags.FLAGS.callers)
    with open(flags.FLAGS.record, "a", buffering=1, encoding="utf-8") as sink:
        runner = threading.Thread(target=run_callers, args=(assignments, Record(sink), stopping))
        runner.start()
        stop_signal.wait()
        stopping.set()
        runner.join()


if __name__ == "__main__":
    define_flags()
    app.run(main)
