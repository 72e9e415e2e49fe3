"""Header fields between a node and the upstream on its host, and the reading of its answers."""

from typing import Protocol

import attrs

from bergamotridge import answer, call, headers, verdict
from bergamotridge.upstreams import announcement, notice, outcome
from bergamotridge.util import message

CALL_HEADER = call.CALL_HEADER.lower().encode()
TIMEOUT_HEADER = call.TIMEOUT_HEADER.lower().encode()
RATE_LIMIT_HEADER = b"bergamotridge-rate-limit"  # Calls per second.
LEAVING_HEADER = b"bergamotridge-leaving"
LEAVING_VALUE = b"1"
SHED_STATUS = 503
MIN_SERVER_ERROR_STATUS = 500


@attrs.define
class UpstreamCall:
    """A call to send to the local upstream.

    Attributes:
        context: Context of the call.
        request: Request of the caller, reduced to the header fields that may reach an upstream.
        announcement: Latest announcement of the upstream, with its address.
        call_id: Id that calls to dependencies quote to identify this call, "" if the dialect has
            no such ids.
    """

    context: call.CallContext
    request: message.Request
    announcement: announcement.Announcement
    call_id: str = ""


@attrs.define
class CallResult:
    """Result of a call, as read from the response of the upstream.

    Attributes:
        verdict: Whether the call has run, has not run or may have run.
        reason: Reason for which the call failed, "" if it was answered.
        outcome: Outcome that is passed to the concurrency limit of the upstream.
    """

    verdict: verdict.Verdict
    reason: str
    outcome: outcome.Outcome


class UpstreamDialect(Protocol):
    """Header fields between a node and its upstream.

    Attributes:
        names_calls: True if a call to a dependency quotes the id of the call that it is made for.
    """

    sends_call_id: bool

    def build_request(self, upstream_call: UpstreamCall, left_s: float) -> message.Request:
        """Returns the request to send to the upstream, with `left_s` seconds until its deadline."""

    def find_fault(self, request: message.Request, response: message.Response, reused: bool) -> str:
        """Returns why `response` is not a complete answer to `request`, "" if it is one.

        Args:
            request: The request as it was sent.
            response: The response that was received.
            reused: True if the connection carried an earlier request, whose answer the upstream
                may have sent once more.
        """

    def interpret_response(self, response: message.Response) -> CallResult:
        """Returns verdict, reason and outcome of the call that `response` answers."""

    def read_notice(self, response: message.Response) -> notice.Notice:
        """Returns what the upstream says about itself; raises ValueError if it is unreadable."""


class DefaultDialect:
    """bergamotridge's own header fields, listed in docs/internals.md."""

    sends_call_id = True

    def build_request(self, upstream_call: UpstreamCall, left_s: float) -> message.Request:
        """Returns the request with the call's id, the time left and the upstream's address."""
        request = upstream_call.request
        fields = [
            *request.headers,
            (CALL_HEADER, upstream_call.call_id.encode()),
            (TIMEOUT_HEADER, b"%d" % max(0, int(left_s * 1000))),
            (b"host", upstream_call.announcement.address.encode()),
        ]
        return message.Request(request.method, request.target, fields, request.body)

    def find_fault(self, request: message.Request, response: message.Response, reused: bool) -> str:
        """Compares the call id, which an upstream must send back to vouch that a call did not run.

        Without the id, a refusal on a reused connection may be that of an earlier call.
        """
        echoed_id = response.header(CALL_HEADER)
        if echoed_id is not None:
            sent_id = message.find_header(request.headers, CALL_HEADER)
            return "" if echoed_id == sent_id else "the response has the id of another call"
        if reused and _vouches_not_run(response):
            return "the refusal has no call id, so it may be the answer to an earlier call"
        return ""

    def interpret_response(self, response: message.Response) -> CallResult:
        """Counts a 503 as a refusal by the upstream only if its verdict header is NOT_RUN."""
        if response.status == SHED_STATUS:
            claimed_verdict = _claimed_verdict(response)
            # A 503 without this verdict may be the refusal of a dependency, passed on.
            refused_by_upstream = claimed_verdict is verdict.Verdict.NOT_RUN
            call_outcome = (
                outcome.Outcome.SHED if refused_by_upstream else outcome.Outcome.CANCELLED
            )
            return CallResult(claimed_verdict, "upstream-shed", call_outcome)
        failed = response.status >= MIN_SERVER_ERROR_STATUS
        call_outcome = outcome.Outcome.FAILED if failed else outcome.Outcome.OK
        return CallResult(verdict.Verdict.RUN, "", call_outcome)

    def read_notice(self, response: message.Response) -> notice.Notice:
        """Returns the rate limit that the upstream names, and whether it leaves."""
        return notice.read(
            response.header(RATE_LIMIT_HEADER),
            response.header(LEAVING_HEADER) == LEAVING_VALUE,
        )


def _claimed_verdict(response: message.Response) -> verdict.Verdict:
    header_value = (response.header(answer.VERDICT_HEADER) or b"").decode("latin-1")
    return verdict.parse(header_value)


def _vouches_not_run(response: message.Response) -> bool:
    return response.status == SHED_STATUS and _claimed_verdict(response) is verdict.Verdict.NOT_RUN


def remove_internal_headers(response: message.Response) -> None:
    """Removes the hop-by-hop and bergamotridge's own header fields from an answer."""
    response.replace_headers(headers.for_caller(response.headers))
