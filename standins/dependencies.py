"""Calls of an upstream to the services it depends on, through the node on its host."""

import http.client
import select
import threading
import time
from collections.abc import Iterable

import attrs

CALL_HEADER = "Bergamotridge-Call"
TAG_HEADER = "Request-Tag"


class ClientLeftError(Exception):
    """The client of the upstream closed its connection."""


class DeadlineError(Exception):
    """The time left for the call ran out."""


@attrs.frozen
class Call:
    """One call: method and path."""

    method: str
    path: str


@attrs.frozen
class Answer:
    """Answer to a call to a dependency."""

    status: int
    body: bytes


@attrs.frozen
class Rule:
    """Calls made in the course of each request that `trigger` matches, a prefix of its path."""

    trigger: Call
    calls: tuple[Call, ...]

    def matches(self, method: str, path: str) -> bool:
        """Returns True if a request makes these calls."""
        return self.trigger.method in ("", method) and path.startswith(self.trigger.path)


def _parse_call(text: str) -> Call:
    method, _, path = text.strip().partition(" ")
    if not path.startswith("/"):
        raise ValueError(f"{text!r} is not of the form 'METHOD /path'")
    return Call(method, path)


def parse(texts: Iterable[str]) -> list[Rule]:
    """Returns the rules; ``POST /a > GET /b, GET /c`` or, for all requests, ``GET /b``."""
    rules = []
    for text in texts:
        trigger, arrow, calls = text.rpartition(">")
        made = tuple(_parse_call(part) for part in calls.split(",") if part.strip())
        rules.append(Rule(_parse_call(trigger) if arrow else Call("", "/"), made))
    return rules


class Client:
    """Kept-alive connections to the node, one for each thread."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._local = threading.local()

    def call(self, call: Call, call_id: str, tag: str, deadline: float, client) -> Answer:
        """Makes one call and returns its answer.

        Args:
            call: What to call.
            call_id: The live call id that the node gave with the request.
            tag: The request's tag.
            deadline: Monotonic time in seconds at which to give up.
            client: Connection of the request; its end cancels the call.

        Raises:
            ClientLeftError: The client closed its connection.
            DeadlineError: The deadline passed.
        """
        try:
            return self._call(call, call_id, tag, deadline, client)
        except (OSError, http.client.HTTPException):
            self._drop()
            return Answer(502, b"")
        except (ClientLeftError, DeadlineError):
            self._drop()
            raise

    def _call(self, call: Call, call_id: str, tag: str, deadline: float, client) -> Answer:
        headers = {CALL_HEADER: call_id, TAG_HEADER: tag}
        body = b"" if call.method in ("GET", "DELETE") else tag.encode()
        connection = self._connection()
        connection.request(call.method, call.path, body, headers)
        self._await_answer(connection, client, deadline)
        answer = connection.getresponse()
        return Answer(answer.status, answer.read())

    def _await_answer(self, connection, client, deadline: float) -> None:
        poll = select.poll()
        poll.register(client, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        poll.register(connection.sock, select.POLLIN)
        left_ms = max(0.0, deadline - time.monotonic()) * 1000
        ready = [descriptor for descriptor, _ in poll.poll(left_ms)]
        if client.fileno() in ready:
            raise ClientLeftError
        if not ready:
            raise DeadlineError

    def _connection(self) -> http.client.HTTPConnection:
        connection = getattr(self._local, "connection", None)
        if connection is None or connection.sock is None:
            connection = http.client.HTTPConnection(self._node, timeout=60)
            connection.connect()
            self._local.connection = connection
        return connection

    def _drop(self) -> None:
        connection = getattr(self._local, "connection", None)
        if connection is not None:
            connection.close()
            self._local.connection = None
