"""Header fields exchanged with callers: request id, remaining time, and verdict."""

import os
from typing import Protocol

from bergamotridge import answer, call, errors
from bergamotridge.util import excerpt, message

REQUEST_ID_HEADER = call.REQUEST_ID_HEADER.lower().encode()
TIMEOUT_HEADER = call.TIMEOUT_HEADER.lower().encode()
REQUEST_ID_BYTES = 16
MAX_TIMEOUT_MS = 86_400_000  # A caller that names more waits longer than any route.


class CallerDialect(Protocol):
    """Reads the header fields of callers' requests and writes those of the responses."""

    def request_id(self, request: message.Request) -> str:
        """Returns the id of a request, a new one if the request carries none."""

    def time_left_s(self, request: message.Request) -> float | None:
        """Returns the seconds until the caller's own timeout, None if the request states none.

        Raises:
            CallError: 400: the header field is malformed.
        """

    def is_nested_call(self, request: message.Request) -> bool:
        """Returns True if an upstream sent the call while processing another request."""

    def response(self, given: answer.Answer, request_id: str) -> message.Response:
        """Returns the HTTP response to the caller for the answer `given`."""


class DefaultDialect:
    """The default header fields, which docs/internals.md lists."""

    def request_id(self, request: message.Request) -> str:
        """Returns a new random id; callers cannot set it."""
        del request
        return os.urandom(REQUEST_ID_BYTES).hex()

    def time_left_s(self, request: message.Request) -> float | None:
        """Returns the value of the timeout header in seconds, None if it is absent."""
        header_value = request.header(TIMEOUT_HEADER)
        if header_value is None:
            return None
        timeout_ms = message.parse_whole_number(header_value, MAX_TIMEOUT_MS)
        if not timeout_ms:
            quoted = excerpt.quote(header_value.decode("latin-1"))
            raise errors.CallError(
                f"header '{call.TIMEOUT_HEADER}' is {quoted}; "
                f"accepted: a whole number of milliseconds above zero",
                status=400,
                reason="timeout",
            )
        return timeout_ms / 1000

    def is_nested_call(self, request: message.Request) -> bool:
        """Returns False, because upstreams send their calls to a separate port."""
        del request
        return False

    def response(self, given: answer.Answer, request_id: str) -> message.Response:
        """Returns the response of `given` with the request id and the verdict added."""
        fields = [
            *given.response.headers,
            (REQUEST_ID_HEADER, request_id.encode()),
            (answer.VERDICT_HEADER, given.verdict.value.encode()),
        ]
        return message.Response(given.response.status, fields, given.response.body)
