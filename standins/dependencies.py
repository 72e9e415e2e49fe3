"""Calls of an upstream to the services it depends on, through the node on its host."""

import http.client
import select
import threading
import time
from collections.abc import Iterable

import attrs

CALL_HEADER = "Bergamotridge-Call"
TAG_HEADER = "Request-Tag"


class ClientDisconnectedError(Exception):
    """The client closed its connection to the upstream while the request ran."""


class DeadlineExceededError(Exception):
    """The deadline of the request passed before a response arrived."""


@attrs.frozen
class Call:
    """Method and path of a call."""

    method: str
    path: str


@attrs.frozen
class Answer:
    """Status and body of the response to a call to a dependency."""

    status: int
    body: bytes


@attrs.frozen
class Rule:
    """Calls to dependencies that the upstream makes while it handles a matching request.

    Attributes:
        trigger: Method of the request, "" for any, and a prefix of its path.
        calls: The calls, made in this order.
    """

    trigger: Call
    calls: tuple[Call, ...]

    def matches(self, method: str, path: str) -> bool:
        """Returns True if a request with this method and path triggers the calls."""
        return self.trigger.method in ("", method) and path.startswith(self.trigger.path)


def _parse_call(text: str) -> Call:
    method, _, path = text.strip().partition(" ")
    if not path.startswith("/"):
        raise ValueError(f"{text!r} is not of the form 'METHOD /path'; e.g. 'GET /rows'")
    return Call(method, path)


def parse_rules(texts: Iterable[str]) -> list[Rule]:
    """Parses rules such as ``POST /a > GET /b, GET /c`` or, for all requests, ``GET /b``.

    Raises:
        ValueError: A call is not of the form ``METHOD /path``.
    """
    rules = []
    for text in texts:
        trigger, arrow, calls = text.rpartition(">")
        parsed_calls = tuple(_parse_call(part) for part in calls.split(",") if part.strip())
        rules.append(Rule(_parse_call(trigger) if arrow else Call("", "/"), parsed_calls))
    return rules


class Client:
    """Calls dependencies over keep-alive connections to the node, one for each thread."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._local = threading.local()

    def call(self, call: Call, call_id: str, tag: str, deadline: float, client_socket) -> Answer:
        """Makes one call and returns its response, with status 502 if the connection failed.

        Args:
            call: Method and path of the call.
            call_id: Call id that the node sent with the request, valid while the request runs.
            tag: Tag of the request, passed on with the call.
            deadline: Monotonic time in seconds at which the call is given up.
            client_socket: Connection of the request; the call is cancelled when it closes.

        Raises:
            ClientDisconnectedError: The client closed its connection.
            DeadlineExceededError: The deadline passed.
        """
        try:
            return self._call(call, call_id, tag, deadline, client_socket)
        except (OSError, http.client.HTTPException):
            self._close_connection()
            return Answer(502, b"")
        except (ClientDisconnectedError, DeadlineExceededError):
            self._close_connection()
            raise

    def _call(self, call: Call, call_id: str, tag: str, deadline: float, client_socket) -> Answer:
        headers = {CALL_HEADER: call_id, TAG_HEADER: tag}
        body = b"" if call.method in ("GET", "DELETE") else tag.encode()
        connection = self._get_connection()
        connection.request(call.method, call.path, body, headers)
        self._await_answer(connection, client_socket, deadline)
        response = connection.getresponse()
        return Answer(response.status, response.read())

    def _await_answer(self, connection, client_socket, deadline: float) -> None:
        poll = select.poll()
        poll.register(client_socket, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        poll.register(connection.sock, select.POLLIN)
        remaining_ms = max(0.0, deadline - time.monotonic()) * 1000
        ready = [descriptor for descriptor, _ in poll.poll(remaining_ms)]
        if client_socket.fileno() in ready:
            raise ClientDisconnectedError
        if not ready:
            raise DeadlineExceededError

    def _get_connection(self) -> http.client.HTTPConnection:
        connection = getattr(self._local, "connection", None)
        if connection is None or connection.sock is None:
            connection = http.client.HTTPConnection(self._node, timeout=60)
            connection.connect()
            self._local.connection = connection
        return connection

    def _close_connection(self) -> None:
        connection = getattr(self._local, "connection", None)
        if connection is not None:
            connection.close()
            self._local.connection = None
