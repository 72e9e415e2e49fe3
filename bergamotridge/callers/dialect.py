"""How callers say what they want, and how answers are told to them."""

import os
from typing import Protocol

from bergamotridge import answer, call, errors
from bergamotridge.util import message

REQUEST_ID_HEADER = call.REQUEST_ID_HEADER.lower().encode()
TIMEOUT_HEADER = call.TIMEOUT_HEADER.lower().encode()
REQUEST_ID_BYTES = 16


class CallerDialect(Protocol):
    """Header fields between callers and the fleet."""

    def request_id(self, request: message.Request) -> str:
        """Returns the id of a request, a new one if the caller gives none."""

    def time_left_s(self, request: message.Request) -> float | None:
        """Returns the seconds that the caller waits, None if it does not say.

        Raises:
            CallError: 400: the field cannot be read.
        """

    def serves_running_work(self, request: message.Request) -> bool:
        """Returns True for a call that an upstream makes for a request it works on."""

    def response(self, given: answer.Answer, request_id: str) -> message.Response:
        """Returns the response for a caller."""


class OwnDialect:
    """The fleet's own header fields, as docs/internals.md lists them."""

    def request_id(self, request: message.Request) -> str:
        """Returns a new id; callers do not choose it."""
        del request
        return os.urandom(REQUEST_ID_BYTES).hex()

    def time_left_s(self, request: message.Request) -> float | None:
        """Reads the timeout header."""
        given = request.header(TIMEOUT_HEADER)
        if given is None:
            return None
        if not given.isdigit() or int(given) == 0:
            raise errors.CallError(
                f"header '{call.TIMEOUT_HEADER}' is {given.decode('latin-1')!r}; "
                f"accepted: a whole number of milliseconds above zero",
                status=400,
                reason="timeout",
            )
        return int(given) / 1000

    def serves_running_work(self, request: message.Request) -> bool:
        """Returns False: calls of upstreams come to a port of their own."""
        del request
        return False

    def response(self, given: answer.Answer, request_id: str) -> message.Response:
        """Adds the id of the request and the verdict."""
        fields = [
            *given.response.headers,
            (REQUEST_ID_HEADER, request_id.encode()),
            (answer.VERDICT_HEADER, given.verdict.value.encode()),
        ]
        return message.Response(given.response.status, fields, given.response.body)
