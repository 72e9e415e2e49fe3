"""The upstream on this host: the only way to it leads through here."""

import threading
import time

import attrs

from bergamotridge import answer, call, errors, headers, verdict
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import gate, live, outcome
from bergamotridge.util import cancellation, http_client, message

CALL_HEADER = call.CALL_HEADER.lower().encode()
TIMEOUT_HEADER = call.TIMEOUT_HEADER.lower().encode()
SHED_STATUS = 503
SERVER_ERROR = 500


@attrs.frozen
class Announcement:
    """What an upstream says of itself; see docs/internals.md for the wire form."""

    service: str
    address: str
    state: record.State
    incarnation: int
    slots: int
    connections: int
    load: float


class LocalUpstream:
    """Runs calls at the upstream beside this node, within the limit and queue of its gate."""

    def __init__(self, admission: gate.Gate, calls: live.LiveCalls, pools: http_client.Pools):
        self._gate = admission
        self._live = calls
        self._pools = pools
        self._lock = threading.Lock()
        self._announcement: Announcement | None = None

    @property
    def service(self) -> str:
        """Service of the upstream, "" before its first announcement."""
        return self._announcement.service if self._announcement else ""

    @property
    def announcement(self) -> Announcement | None:
        """The latest announcement."""
        return self._announcement

    def announce(self, announcement: Announcement, now: float) -> None:
        """Takes in an announcement of the local upstream."""
        with self._lock:
            self._announcement = announcement
        self._gate.announce(
            announcement.state,
            announcement.slots,
            announcement.connections,
            announcement.load,
            now,
        )

    def report(self, now: float) -> load.LoadReport:
        """Returns the load report of the gate."""
        return self._gate.report(now)

    def run(
        self,
        service: str,
        context: call.CallContext,
        request: message.Request,
        retries: int,
        token: cancellation.Token,
    ) -> answer.Answer:
        """Runs one call and returns its end; refusals are answers too, never exceptions.

        The request holds only header fields that may reach an upstream.
        """
        announcement = self._announcement
        if announcement is None or announcement.service != service:
            return answer.refuse(_no_upstream(service), retries)
        try:
            ticket = self._gate.enter(context, time.monotonic(), token)
        except errors.CallError as error:
            return answer.refuse(error, retries)
        ended = outcome.Outcome.FAILED
        try:
            given, ended = self._send(announcement, context, request, retries, token)
        finally:
            ticket.finish(ended, time.monotonic())
        return given

    def _send(
        self,
        announcement: Announcement,
        context: call.CallContext,
        request: message.Request,
        retries: int,
        token: cancellation.Token,
    ) -> tuple[answer.Answer, outcome.Outcome]:
        call_token = cancellation.Token(token)
        entry = self._live.open(announcement.service, context, retries, call_token)
        left = context.time_left(time.monotonic())
        fields = [
            *request.headers,
            (CALL_HEADER, entry.call_id.encode()),
            (TIMEOUT_HEADER, b"%d" % max(0, int(left * 1000))),
            (b"host", announcement.address.encode()),
        ]
        sent = message.Request(request.method, request.target, fields, request.body)
        try:
            response = self._pools.to(announcement.address).send(sent, left, call_token)
            failure = None
        except http_client.TransferError as error:
            failure = error
        finally:
            unused = self._live.close(entry)
            cancelled = call_token.cancelled
            # Calls to dependencies that still run below an ended call have no one to answer.
            call_token.cancel()
            call_token.close()
        if failure is not None:
            return _failed(failure, unused, cancelled)
        return _answered(response, unused)


def _answered(response: message.Response, unused: int) -> tuple[answer.Answer, outcome.Outcome]:
    if response.status == SHED_STATUS:
        vouched = verdict.parse((response.header(answer.VERDICT_HEADER) or b"").decode("latin-1"))
        response.headers = headers.for_caller(response.headers)
        # Without its word the upstream may only pass on what a dependency refused.
        own = vouched is verdict.Verdict.NOT_RUN
        ended = outcome.Outcome.SHED if own else outcome.Outcome.CANCELLED
        return answer.Answer(response, vouched, "upstream-shed", unused), ended
    response.headers = headers.for_caller(response.headers)
    ended = outcome.Outcome.FAILED if response.status >= SERVER_ERROR else outcome.Outcome.OK
    return answer.Answer(response, verdict.Verdict.RUN, "", unused), ended


def _failed(
    failure: http_client.TransferError, unused: int, cancelled: bool
) -> tuple[answer.Answer, outcome.Outcome]:
    if cancelled:
        ended, status, reason = outcome.Outcome.CANCELLED, 503, "cancelled"
    elif failure.timed_out:
        ended, status, reason = outcome.Outcome.TIMED_OUT, 504, "deadline"
    else:
        ended, status, reason = outcome.Outcome.FAILED, 502, "upstream-failed"
    error = errors.CallError(
        f"the upstream gave no whole answer: {failure}",
        status=status,
        reason=reason,
        verdict=failure.verdict,
        retry_after_s=1,
    )
    return answer.refuse(error, unused), ended


def _no_upstream(service: str) -> errors.CallError:
    return errors.CallError(
        f"no upstream of service '{service}' on this host",
        status=503,
        reason="no-upstream",
        retry_after_s=1,
    )
