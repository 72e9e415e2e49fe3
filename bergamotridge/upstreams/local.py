"""The upstream on this host: the only way to it leads through here."""

import threading
import time

from bergamotridge import answer, call, errors, verdict
from bergamotridge.nodes import load
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import dialect, gate, live, outcome
from bergamotridge.util import cancellation, http_client, message


class LocalUpstream:
    """Runs calls at the upstream beside this node, within the limit and queue of its gate."""

    def __init__(
        self,
        admission: gate.Gate,
        calls: live.LiveCalls,
        pools: http_client.Pools,
        speech: dialect.UpstreamDialect | None = None,
    ) -> None:
        """Starts without an upstream.

        Args:
            admission: Limit and queue.
            calls: Registry of the calls that run.
            pools: Connections.
            speech: Header fields between node and upstream, the fleet's own if None.
        """
        self._gate = admission
        self._live = calls
        self._pools = pools
        self._dialect = speech or dialect.OwnDialect()
        self._lock = threading.Lock()
        self._announcement: announcements.Announcement | None = None

    @property
    def service(self) -> str:
        """Service of the upstream, "" before its first announcement."""
        return self._announcement.service if self._announcement else ""

    @property
    def announcement(self) -> announcements.Announcement | None:
        """The latest announcement."""
        return self._announcement

    def announce(self, heard: announcements.Announcement, now: float) -> bool:
        """Takes in an announcement; returns False if a later one is known."""
        with self._lock:
            if not heard.replaces(self._announcement):
                return False
            self._announcement = heard
        self._gate.announce(
            heard.state,
            heard.slots,
            heard.connections,
            heard.load,
            now,
            exact=heard.cold_s is not None,
        )
        return True

    def report(self, now: float) -> load.LoadReport:
        """Returns the load report of the gate."""
        return self._gate.report(now)

    async def run(
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
        known = self._announcement
        if known is None or known.service != service:
            return answer.refuse(_no_upstream(service), retries)
        try:
            ticket = await self._gate.enter(context, time.monotonic(), token)
        except errors.CallError as error:
            return answer.refuse(error, retries)
        ended = outcome.Outcome.FAILED
        try:
            given, ended = await self._send(context, request, retries, token)
        finally:
            ticket.finish(ended, time.monotonic())
        return given

    async def _send(
        self,
        context: call.CallContext,
        request: message.Request,
        retries: int,
        token: cancellation.Token,
    ) -> tuple[answer.Answer, outcome.Outcome]:
        to = self._announcement
        if not self._dialect.names_calls:
            return await self._transfer(dialect.Sending(context, request, to), retries, token)
        call_token = cancellation.Token(token)
        entry = self._live.open(to.service, context, retries, call_token)
        sending = dialect.Sending(context, request, to, entry.call_id)
        try:
            given, ended = await self._transfer(sending, retries, call_token)
        finally:
            unused = self._live.close(entry)
            # Calls to dependencies that still run below an ended call have no one to answer.
            call_token.cancel()
            call_token.close()
        given.unused = unused
        return given, ended

    async def _transfer(
        self, sending: dialect.Sending, retries: int, token: cancellation.Token
    ) -> tuple[answer.Answer, outcome.Outcome]:
        left = sending.context.deadline - time.monotonic()
        sent = self._dialect.request(sending, left)
        try:
            pool = self._pools.to(sending.to.address)
            response = await pool.send(sent, left, token, check=self._dialect.fault)
        except http_client.TransferError as error:
            return _failed(error, retries, token.cancelled)
        reading = self._dialect.read(response)
        dialect.strip(response)
        return answer.Answer(response, reading.verdict, reading.reason, retries), reading.ended


def _failed(
    failure: http_client.TransferError, unused: int, cancelled: bool
) -> tuple[answer.Answer, outcome.Outcome]:
    if cancelled:
        unsent = failure.verdict is verdict.Verdict.NOT_RUN
        ended, status, reason = outcome.Outcome.CANCELLED, 503 if unsent else 502, "cancelled"
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
