"""Header fields between a node and the upstream on its host, and the reading of its answers."""

from typing import Protocol

import attrs

from bergamotridge import answer, call, headers, verdict
from bergamotridge.upstreams import announcement, outcome
from bergamotridge.util import message

CALL_HEADER = call.CALL_HEADER.lower().encode()
TIMEOUT_HEADER = call.TIMEOUT_HEADER.lower().encode()
SHED_STATUS = 503
MIN_SERVER_ERROR_STATUS = 500


@attrs.frozen
class Sending:
    """A call to send to the local upstream.

    Attributes:
        context: Context of the call.
        request: Request of the caller, reduced to the header fields that may reach an upstream.
        to: Latest announcement of the upstream, with its address.
        call_id: Id that calls to dependencies quote to identify this call, "" if the dialect has
            no such ids.
    """

    context: call.CallContext
    request: message.Request
    to: announcement.Announcement
    call_id: str = ""


@attrs.frozen
class Reading:
    """Result of a call, as read from the response of the upstream.

    Attributes:
        verdict: Whether the call has run, has not run or may have run.
        reason: Reason for which the call failed, "" if it was answered.
        ended: Outcome that is passed to the concurrency limit of the upstream.
    """

    verdict: verdict.Verdict
    reason: str
    ended: outcome.Outcome


class UpstreamDialect(Protocol):
    """Header fields between a node and its upstream.

    Attributes:
        names_calls: True if a call to a dependency quotes the id of the call that it is made for.
    """

    names_calls: bool

    def request(self, sending: Sending, left_s: float) -> message.Request:
        """Returns the request to send to the upstream, with `left_s` seconds until its deadline."""

    def fault(self, request: message.Request, response: message.Response) -> str:
        """Returns why `response` is not a complete answer to `request`, "" if it is one."""

    def read(self, response: message.Response) -> Reading:
        """Returns verdict, reason and outcome of the call that `response` answers."""


class OwnDialect:
    """bergamotridge's own header fields, listed in docs/internals.md."""

    names_calls = True

    def request(self, sending: Sending, left_s: float) -> message.Request:
        """Returns the request with the call's id, the time left and the upstream's address."""
        request = sending.request
        fields = [
            *request.headers,
            (CALL_HEADER, sending.call_id.encode()),
            (TIMEOUT_HEADER, b"%d" % max(0, int(left_s * 1000))),
            (b"host", sending.to.address.encode()),
        ]
        return message.Request(request.method, request.target, fields, request.body)

    def fault(self, request: message.Request, response: message.Response) -> str:
        """Accepts every response that was received completely."""
        del request, response
        return ""

    def read(self, response: message.Response) -> Reading:
        """Counts a 503 as a refusal by the upstream only if its verdict header is NOT_RUN."""
        if response.status == SHED_STATUS:
            header_value = (response.header(answer.VERDICT_HEADER) or b"").decode("latin-1")
            claimed_verdict = verdict.parse(header_value)
            # A 503 without this verdict may be the refusal of a dependency, passed on.
            refused_by_upstream = claimed_verdict is verdict.Verdict.NOT_RUN
            ended = outcome.Outcome.SHED if refused_by_upstream else outcome.Outcome.CANCELLED
            return Reading(claimed_verdict, "upstream-shed", ended)
        failed = response.status >= MIN_SERVER_ERROR_STATUS
        ended = outcome.Outcome.FAILED if failed else outcome.Outcome.OK
        return Reading(verdict.Verdict.RUN, "", ended)


def remove_internal_headers(response: message.Response) -> None:
    """Removes the hop-by-hop and bergamotridge's own header fields from an answer."""
    response.replace_headers(headers.for_caller(response.headers))
