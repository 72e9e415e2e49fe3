"""How the node speaks to the upstream beside it, and how it reads the answers."""

from typing import Protocol

import attrs

from bergamotridge import answer, call, headers, verdict
from bergamotridge.upstreams import announcement, outcome
from bergamotridge.util import message

CALL_HEADER = call.CALL_HEADER.lower().encode()
TIMEOUT_HEADER = call.TIMEOUT_HEADER.lower().encode()
SHED_STATUS = 503
SERVER_ERROR = 500


@attrs.frozen
class Sending:
    """A call that is about to be sent to the local upstream.

    Attributes:
        context: The call.
        request: What the caller sent, with the fields that may reach an upstream.
        to: The upstream.
        call_id: Id by which calls to dependencies name this call, "" if they do not.
    """

    context: call.CallContext
    request: message.Request
    to: announcement.Announcement
    call_id: str = ""


@attrs.frozen
class Reading:
    """What an answer says of its call.

    Attributes:
        verdict: Whether the call may have run.
        reason: Why the call failed, "" if it was answered.
        ended: What the limit of the upstream learns from it.
    """

    verdict: verdict.Verdict
    reason: str
    ended: outcome.Outcome


class UpstreamDialect(Protocol):
    """Header fields between a node and its upstream.

    Attributes:
        names_calls: True if an upstream's calls to dependencies name the call they are made for.
    """

    names_calls: bool

    def request(self, sending: Sending, left_s: float) -> message.Request:
        """Returns the request as the upstream gets it, with `left_s` seconds until its deadline."""

    def fault(self, request: message.Request, response: message.Response) -> str:
        """Returns why a response is not the whole answer to `request`, "" if it is."""

    def read(self, response: message.Response) -> Reading:
        """Returns what an answer says of its call."""


class OwnDialect:
    """The fleet's own header fields, as docs/internals.md lists them."""

    names_calls = True

    def request(self, sending: Sending, left_s: float) -> message.Request:
        """Adds the call's id and the time left."""
        request = sending.request
        fields = [
            *request.headers,
            (CALL_HEADER, sending.call_id.encode()),
            (TIMEOUT_HEADER, b"%d" % max(0, int(left_s * 1000))),
            (b"host", sending.to.address.encode()),
        ]
        return message.Request(request.method, request.target, fields, request.body)

    def fault(self, request: message.Request, response: message.Response) -> str:
        """Accepts every answer that is whole."""
        del request, response
        return ""

    def read(self, response: message.Response) -> Reading:
        """Believes a refusal only if the upstream vouches for it."""
        if response.status == SHED_STATUS:
            given = (response.header(answer.VERDICT_HEADER) or b"").decode("latin-1")
            vouched = verdict.parse(given)
            # Without its word the upstream may only pass on what a dependency refused.
            own = vouched is verdict.Verdict.NOT_RUN
            ended = outcome.Outcome.SHED if own else outcome.Outcome.CANCELLED
            return Reading(vouched, "upstream-shed", ended)
        failed = response.status >= SERVER_ERROR
        ended = outcome.Outcome.FAILED if failed else outcome.Outcome.OK
        return Reading(verdict.Verdict.RUN, "", ended)


def strip(response: message.Response) -> None:
    """Drops the fields of an answer that stay between the node and its upstream."""
    response.replace_headers(headers.for_caller(response.headers))
