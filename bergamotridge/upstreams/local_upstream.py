"""The upstream on this host; all calls to it are sent from here."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import attrs
import logbook

from bergamotridge import answer, call, errors, verdict
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import (
    call_failures,
    connection_trials,
    dialect,
    gate,
    live_calls,
    notice,
    outcome,
    quarantine,
    request_tracker,
    suspect_run,
)
from bergamotridge.util import cancellation, http_client, message

# Heartbeats that an upstream sent before it crashed may arrive as late as this.
LATE_HEARTBEAT_S = 5.0

# An upstream that names another rate limit in each answer must not flood the log.
REPORT_INTERVAL_S = 1.0

_log = logbook.Logger(__name__)


class Observer(Protocol):
    """Is told what happens at the local upstream, for events and metrics."""

    def record_send(self) -> None:
        """Counts a call that is sent to the upstream."""

    def record_cold(self, received: announcements.Announcement) -> None:
        """Records that the calls of a cold upstream are bounded from now on."""

    def record_notice(self, received: notice.Notice, request_id: str) -> None:
        """Records that the answer to a request changed what the upstream says about itself."""


OnStateChange = Callable[[announcements.Announcement, float], None]


def _ignore_state_change(announcement: announcements.Announcement, now: float) -> None:
    del announcement, now


class _NoObserver:
    """Ignores all."""

    def record_send(self) -> None:
        pass

    def record_cold(self, received: announcements.Announcement) -> None:
        pass

    def record_notice(self, received: notice.Notice, request_id: str) -> None:
        pass


class LocalUpstream:
    """Runs calls at the upstream on this host, within the limit and queue of its gate."""

    def __init__(
        self,
        admission_gate: gate.Gate,
        calls: live_calls.LiveCalls,
        pools: http_client.Pools,
        upstream_dialect: dialect.UpstreamDialect | None = None,
        observer: Observer | None = None,
        on_state_change: OnStateChange = _ignore_state_change,
        crash_quarantine: quarantine.Quarantine | None = None,
        tracker: request_tracker.RequestTracker | None = None,
    ) -> None:
        """Creates the object without an upstream, which is known from its first announcement.

        Args:
            admission_gate: Gate with the limit and the queue.
            calls: Registry of the running calls.
            pools: Connection pools by address.
            upstream_dialect: Header fields between node and upstream; bergamotridge's own if None.
            observer: Is told of calls sent and of changed notices, if not None.
            on_state_change: Called with the announcement in its new state and the monotonic time
                when an answer says that the upstream leaves, or it crashed.
            crash_quarantine: Holds back requests under which upstreams crash; none are if None.
            tracker: Is told of the requests whose calls do not name them, and may refuse some of
                them, if not None.
        """
        self._gate = admission_gate
        self._live_calls = calls
        self._pools = pools
        self._trials = connection_trials.ConnectionTrials(admission_gate, pools)
        self._dialect = upstream_dialect or dialect.DefaultDialect()
        self._observer = observer or _NoObserver()
        self._on_state_change = on_state_change
        self._quarantine = crash_quarantine or quarantine.Quarantine()
        self._quarantine.set_crash_listener(self._record_crash)
        self._tracker = tracker
        self._crashed: notice.UpstreamId | None = None
        self._crashed_at = float("-inf")
        self._notices = notice.NoticeTracker()
        self._reported_notice = notice.NO_NOTICE
        self._reported_at = float("-inf")
        self._unreadable_notice_from: notice.UpstreamId | None = None
        self._lock = threading.Lock()
        self._announcement: announcements.Announcement | None = None

    @property
    def service(self) -> str:
        """Name of the upstream's service, "" before its first announcement."""
        return self._announcement.service if self._announcement else ""

    @property
    def announcement(self) -> announcements.Announcement | None:
        """Latest announcement of the upstream, None before the first one."""
        return self._announcement

    def apply_announcement(self, announcement: announcements.Announcement, now: float) -> bool:
        """Applies an announcement; returns False if a later one has already been applied."""
        with self._lock:
            if not announcement.replaces(self._announcement):
                return False
            current = self._announcement
            is_new = current is None or current.upstream_id != announcement.upstream_id
            if is_new:
                self._gate.forget_connection_bound()
            if self._gate.apply_coldness(announcement.cold_s, is_new, now):
                self._observer.record_cold(announcement)
            self._notices.begin(announcement.upstream_id)
            self._gate.apply_notice(self._notices.current, now)
            self._store_announcement(announcement, now)
        return True

    def _store_announcement(self, received: announcements.Announcement, now: float) -> None:
        """Stores an announcement; an upstream that leaves is draining whatever it announces.

        One that has crashed is lost, whatever it had announced before.
        """
        if self._notices.current.leaving:
            received = attrs.evolve(received, state=record.State.DRAINING)
        if received.upstream_id == self._crashed and now < self._crashed_at + LATE_HEARTBEAT_S:
            received = attrs.evolve(received, state=record.State.LOST)
        self._announcement = received
        self._gate.apply_announcement(
            received.state,
            received.slots,
            received.connections,
            received.load,
            now,
            exact_slots=received.cold_s is not None,
        )

    def _record_crash(self, upstream: notice.UpstreamId) -> None:
        """Refuses calls and tells other nodes, until the upstream is started anew."""
        now = time.monotonic()
        with self._lock:
            current = self._announcement
            if current is None or current.upstream_id != upstream:
                return
            self._crashed, self._crashed_at = upstream, now
            self._store_announcement(current, now)
        self._on_state_change(self._announcement, now)

    @property
    def rate_limit(self) -> float | None:
        """Calls per second that the upstream says it takes, None if it names no limit."""
        return self._notices.current.rate_limit

    @property
    def upstream_notice(self) -> notice.UpstreamNotice | None:
        """What other nodes should know of the upstream, None if it has given no notice."""
        return self._notices.to_pass_on

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
        """Runs one call and returns its answer; a refusal is returned as an answer, never raised.

        Args:
            service: Service that the call is for.
            context: Context of the call.
            request: Request with only those header fields that may reach an upstream.
            retries: Retries that calls below this one may spend.
            token: Cancelled when the call is cancelled.
        """
        announcement = self._announcement
        if announcement is None or announcement.service != service:
            return answer.from_error(_no_upstream_error(service), retries)
        run = self._quarantine.create_run(service, context, request, token)
        try:
            if self._tracker is not None:
                self._tracker.check(service, context, request)
            if announcement.state is record.State.READY:
                await self._quarantine.admit(run)
            result = await self._enter_and_send(run, retries)
        except errors.CallError as error:
            return answer.from_error(error, retries)
        finally:
            self._quarantine.finish(run)
        return result

    async def _enter_and_send(self, run: suspect_run.Run, retries: int) -> answer.Answer:
        """Sends a call to the upstream once the gate admits it; raises CallError if refused."""
        ticket = await self._gate.enter(run.context, time.monotonic(), run.token)
        call_outcome = outcome.Outcome.REFUSED
        try:
            self._quarantine.start(run)
            call_outcome = outcome.Outcome.FAILED
            result, call_outcome = await self._send(run, retries)
            run.completed = result.verdict is verdict.Verdict.RUN
        finally:
            ticket.finish(call_outcome, time.monotonic())
        return result

    async def _send(
        self, run: suspect_run.Run, retries: int
    ) -> tuple[answer.Answer, outcome.Outcome]:
        announcement = self._announcement
        if not self._dialect.sends_call_id:
            upstream_call = dialect.UpstreamCall(run.context, run.request, announcement)
            if self._tracker is None:
                return await self._transfer(run, upstream_call, retries, run.token)
            service = announcement.service
            with self._tracker.track(service, run.context, run.request) as tracked:
                result, call_outcome = await self._transfer(run, upstream_call, retries, run.token)
                tracked.result = result
                return result, call_outcome
        call_token = cancellation.Token(run.token)
        live_call = self._live_calls.open(announcement.service, run.context, retries, call_token)
        upstream_call = dialect.UpstreamCall(
            run.context, run.request, announcement, live_call.call_id
        )
        try:
            result, call_outcome = await self._transfer(run, upstream_call, retries, call_token)
        finally:
            unused_retries = self._live_calls.close(live_call)
            # Calls to dependencies that still run are cancelled: nothing waits for their answers.
            call_token.cancel()
            call_token.close()
        result.unused = unused_retries
        return result, call_outcome

    async def _transfer(
        self,
        run: suspect_run.Run,
        upstream_call: dialect.UpstreamCall,
        unused_retries: int,
        token: cancellation.Token,
    ) -> tuple[answer.Answer, outcome.Outcome]:
        sent_at = time.monotonic()
        time_left_s = upstream_call.context.deadline - sent_at
        request = self._dialect.build_request(upstream_call, time_left_s)
        self._observer.record_send()
        try:
            pool = self._pools.pool_for(upstream_call.announcement.address)
            response = await pool.send(request, time_left_s, token, check=self._dialect.find_fault)
        except http_client.TransferError as error:
            upstream = upstream_call.announcement.upstream_id
            if error.refused_beside is not None:
                self._trials.record_refusal(pool.address, error.refused_beside)
            failure = await self._classify_failure(run, upstream, error, token.cancelled)
            return call_failures.answer_failure(error, failure, unused_retries)
        self._record_notice(upstream_call, response, sent_at, time.monotonic())
        call_result = self._dialect.interpret_response(response)
        dialect.remove_internal_headers(response)
        return (
            answer.Answer(response, call_result.verdict, call_result.reason, unused_retries),
            call_result.outcome,
        )

    async def _classify_failure(
        self,
        run: suspect_run.Run,
        upstream: notice.UpstreamId,
        error: http_client.TransferError,
        cancelled: bool,
    ) -> call_failures.Failure:
        """Returns how a call is answered whose transfer failed, and reports a crash behind it."""
        was_sent = error.verdict is not verdict.Verdict.NOT_RUN
        if was_sent and (cancelled or error.timed_out):
            self._quarantine.record_abandoned(run, upstream)
        if run.revoked:
            return call_failures.REVOKED
        if cancelled:
            return call_failures.CANCELLED
        if error.timed_out:
            return call_failures.TIMED_OUT
        if error.memory_exceeded:
            return call_failures.OUT_OF_MEMORY
        if await self._has_crashed(run, upstream, error) and was_sent:
            return call_failures.CRASHED
        return call_failures.FAILED if error.refused_beside is None else call_failures.REFUSED

    async def _has_crashed(
        self,
        run: suspect_run.Run,
        upstream: notice.UpstreamId,
        error: http_client.TransferError,
    ) -> bool:
        """Returns whether the upstream has crashed that a call was sent to."""
        current = self._announcement
        if current.upstream_id != upstream:
            return False
        if error.connection_lost:
            return await self._quarantine.record_lost_connection(run, current)
        if error.connection_refused:
            return await self._quarantine.record_refused_connection(current)
        return False

    def _record_notice(
        self,
        upstream_call: dialect.UpstreamCall,
        response: message.Response,
        sent_at: float,
        now: float,
    ) -> None:
        """Takes in what the upstream says about itself in the response to a call."""
        upstream_id = upstream_call.announcement.upstream_id
        try:
            received = self._dialect.read_notice(response)
        except ValueError as error:
            if upstream_id != self._unreadable_notice_from:
                self._unreadable_notice_from = upstream_id
                _log.warning("notice of upstream '{}' ignored: {}", upstream_id.instance, error)
            return
        with self._lock:
            before = self._notices.current
            current = self._notices.record(upstream_id, received, sent_at, now)
        self._apply_notice(before, current, upstream_call.context.request_id, now)

    def adopt_notice(self, passed_on: notice.UpstreamNotice, request_id: str, now: float) -> None:
        """Takes in what another node knows of the upstream, if this node does not know it yet.

        Args:
            passed_on: Notice that came with a relayed call.
            request_id: Id of the request that the call belongs to.
            now: Monotonic time in seconds.
        """
        with self._lock:
            before = self._notices.current
            current = self._notices.adopt(passed_on)
        self._apply_notice(before, current, request_id, now)

    def _apply_notice(
        self, before: notice.Notice, current: notice.Notice, request_id: str, now: float
    ) -> None:
        """Applies a changed notice to the gate and reports it."""
        if current is before and current is self._reported_notice:
            return
        if current is not before:
            self._gate.apply_notice(current, now)
        begins_to_leave = current.leaving and not before.leaving
        with self._lock:
            if begins_to_leave:
                self._store_announcement(self._announcement, now)
            due = now - self._reported_at >= REPORT_INTERVAL_S
            changed = due and current.differs_from(self._reported_notice)
            if changed:
                self._reported_notice, self._reported_at = current, now
        if begins_to_leave:
            self._on_state_change(self._announcement, now)
        if changed:
            self._observer.record_notice(current, request_id)


def _no_upstream_error(service: str) -> errors.CallError:
    return errors.CallError(
        f"no upstream of service '{service}' is announced on this host; "
        f"start one or retry later",
        status=503,
        reason="no-upstream",
        retry_after_s=1,
    )
