"""Sends a call to an upstream of its service, on this or another host, and retries it."""

import time
from collections.abc import Callable, Collection, Hashable, Sequence
from typing import Protocol

import attrs

from bergamotridge import answer, call, errors, events, verdict
from bergamotridge.nodes import (
    attempt_times,
    budget,
    choice,
    context,
    dependency_thresholds,
    leaves,
    record,
    relay,
)
from bergamotridge.upstreams import completion, known_notices, local_upstream, notice, outcome
from bergamotridge.util import cancellation, message

SERVICE_UNAVAILABLE = 503
GATE_REFUSAL_REASON = "shed"  # By the gate of a node, before the call was sent to its upstream.
UPSTREAM_REJECTION_REASON = "upstream-shed"  # The upstream got the call and did not run it.
COLD_REASON = "cold"  # The upstream is cold and takes few calls; its gate refused this one.
MAX_ATTEMPTS_FOR_ROOM = 3  # A call that so many gates shed needs a retry to go on.
_OUTCOME_BY_REASON = {
    "": outcome.Outcome.OK,
    UPSTREAM_REJECTION_REASON: outcome.Outcome.SHED,
    "shed": outcome.Outcome.SHED,
    COLD_REASON: outcome.Outcome.SHED,
    "cancelled": outcome.Outcome.CANCELLED,
    "deadline": outcome.Outcome.TIMED_OUT,
    completion.REASON: outcome.Outcome.SHED,
    "crash-suspect": outcome.Outcome.SHED,
    "crashes-upstreams": outcome.Outcome.SHED,
    "draining": outcome.Outcome.REFUSED,
    "no-upstream": outcome.Outcome.REFUSED,
    relay.NODE_REFUSED: outcome.Outcome.SHED,
}


# Reasons of refusals which only mean that no upstream takes calls on that host any more.
_ABSENT_UPSTREAM_REASONS = frozenset(("draining", "no-upstream", relay.NODE_FAILED))

# Reasons of refusals of calls that were not sent to an upstream, on a host that may have none to
# spare. Such an attempt reached no upstream, so a retry adds nothing to what the service gets.
_UNSENT_REASONS = _ABSENT_UPSTREAM_REASONS | {"upstream-failed"}

# Reasons of failures on a host whose gate sheds nothing because its upstream gets or ends no calls.
# Its threshold says nothing of the room that the service has elsewhere.
_IDLE_GATE_REASONS = _ABSENT_UPSTREAM_REASONS | {
    "upstream-failed",
    "upstream-crashed",
    COLD_REASON,
}

# Reasons of refusals that hold for all upstreams of the service.
_FLEET_WIDE_REASONS = frozenset(("crash-suspect", "crashes-upstreams", completion.REASON))


class UpstreamDirectory(Protocol):
    """Lists the upstreams of each service."""

    def candidates(self, service: str) -> Sequence[record.UpstreamRecord]:
        """Returns the ready upstreams of a service."""

    def forgotten_leave(self, host: str, now: float) -> leaves.Leave | None:
        """Returns the leave of an upstream that the node of a host may have forgotten."""


@attrs.define
class OutgoingCall:
    """A call to send to any upstream of a service; `route` is "" if its route is not known."""

    service: str
    context: call.CallContext
    request: message.Request
    route: str = ""


class Dispatcher:
    """Chooses an upstream for each attempt and decides whether a failed attempt is retried.

    A retry takes one from the request's allowance and one from the retry budget, unless the failed
    attempt reached no upstream; see `_choose_next`.
    """

    def __init__(
        self,
        host: str,
        upstream: local_upstream.LocalUpstream,
        client: relay.RelayClient,
        directory: UpstreamDirectory,
        chooser: choice.UpstreamChooser,
        retry_budget: budget.RetryBudget,
        service_thresholds: dependency_thresholds.DependencyThresholds,
        log: events.EventLog,
        on_node_failed: Callable[[str], None] = lambda host: None,
    ) -> None:
        """Creates a dispatcher.

        Args:
            host: Host of this node.
            upstream: The upstream on this host.
            client: Relays calls to the nodes of other hosts.
            directory: Lists the upstreams of each service.
            chooser: Chooses among them.
            retry_budget: Limits the retries for each service.
            service_thresholds: Takes in the thresholds that come with answers.
            log: Receives an event for each failed attempt and each retry.
            on_node_failed: Called with the host of a node that sent no complete answer.
        """
        self._on_node_failed = on_node_failed
        self._host = host
        self._upstream = upstream
        self._client = client
        self._directory = directory
        self._chooser = chooser
        self._budget = retry_budget
        self._dependency_thresholds = service_thresholds
        self._log = log
        self._notices = known_notices.KnownNotices()
        self._attempt_times = attempt_times.AttemptTimes()

    async def send(
        self, outgoing: OutgoingCall, allowance: call.Allowance, token: cancellation.Token
    ) -> answer.Answer:
        """Sends a call and returns the answer of all its attempts.

        Args:
            outgoing: The call.
            allowance: Retries that the call and all calls below it may use.
            token: Cancels the call.

        Returns:
            The answer for all attempts; failures are returned as refusals. A failed attempt is
            retried only if the call is repeatable or certainly did not run, and only while its
            time, the allowance and the retry budget last.
        """
        excluded: set[str] = set()
        last: answer.Answer | None = None
        target = self._choose(outgoing, excluded)
        if target is None:
            return answer.from_error(_no_upstream_error(outgoing.service))
        self._budget.add_first_attempt(outgoing.service, time.monotonic())
        while True:
            last = _combine_answers(last, await self._attempt(target, outgoing, allowance, token))
            if not _may_be_sent_again(last, outgoing, token) or not self._has_time(last, outgoing):
                return last
            excluded.add(target.host)
            target = self._choose_next(last, outgoing, allowance, excluded)
            if target is None:
                return last
            self._log.emit(
                "call.retried", outgoing.context.request_id, last.reason, service=outgoing.service
            )

    def _has_time(self, last: answer.Answer, outgoing: OutgoingCall) -> bool:
        """Returns whether another attempt of a call may be answered before its deadline.

        Routes of a service may differ in their times. A call that reached no upstream is not
        refused for the times of others.
        """
        left_s = outgoing.context.time_left(time.monotonic())
        if _was_unsent(last):
            return left_s > attempt_times.MIN_ATTEMPT_S
        return self._attempt_times.allow(outgoing.service, left_s)

    def _choose(
        self, outgoing: OutgoingCall, excluded: Collection[str]
    ) -> record.UpstreamRecord | None:
        candidates = self._directory.candidates(outgoing.service)
        repeatable = outgoing.context.repeatable
        return self._chooser.choose(candidates, excluded, time.monotonic(), repeatable)

    def _choose_next(
        self,
        last: answer.Answer,
        outgoing: OutgoingCall,
        allowance: call.Allowance,
        excluded: Collection[str],
    ) -> record.UpstreamRecord | None:
        """Returns the upstream for the next attempt after a failed one, None if there is none.

        What reached no upstream takes nothing from the allowance or the budget. A call that a gate
        shed put load on a node though, so that it goes on without them only to an upstream with
        room, and not for long. The same holds for a cold upstream, but its refusal says nothing of
        the others, which may be tried without a report of now.
        """
        if _was_unsent(last):
            return self._choose(outgoing, excluded)
        now = time.monotonic()
        is_cold = last.reason == COLD_REASON
        is_refused = is_cold or last.reason == GATE_REFUSAL_REASON
        was_not_run = last.verdict is verdict.Verdict.NOT_RUN
        if is_refused and was_not_run and len(excluded) < MAX_ATTEMPTS_FOR_ROOM:
            candidates = self._directory.candidates(outgoing.service)
            target = self._chooser.choose_with_room(candidates, excluded, now)
            if target is not None or is_cold:
                return target or self._choose(outgoing, excluded)
        may_retry = self._budget.try_take(
            outgoing.service, now, is_unattributed=outgoing.context.unattributed
        )
        if may_retry and allowance.spend():
            return self._choose(outgoing, excluded)
        return None

    async def _attempt(
        self,
        target: record.UpstreamRecord,
        outgoing: OutgoingCall,
        allowance: call.Allowance,
        token: cancellation.Token,
    ) -> answer.Answer:
        started_at = time.monotonic()
        granted = allowance.grant()
        if target.host == self._host:
            reply = await self._upstream.run(
                outgoing.service, outgoing.context, outgoing.request, granted, token
            )
            reply.report = self._upstream.report(time.monotonic())
            reply.thresholds = self._dependency_thresholds.encode_statement(
                outgoing.service, time.monotonic(), outgoing.route
            )
        else:
            stamp = self._log.clock.stamp(time.time_ns() // 1_000_000)
            relayed = context.RelayedCall(
                outgoing.service,
                outgoing.context,
                granted,
                stamp,
                upstream_notice=self._notice_for(target.host, started_at),
            )
            reply = await self._client.send(target.relay_address, relayed, outgoing.request, token)
            self._record_notice(target.host, reply, started_at)
        reply.host = target.host
        allowance.give_back(reply.unused, granted)
        ended_at = time.monotonic()
        if reply.reason:
            self._log_failed_attempt(target, outgoing, reply, ended_at - started_at)
        self._record_attempt(
            target,
            outgoing.service,
            reply,
            ended_at - started_at,
            ended_at,
            outgoing.route,
            _kind_of(outgoing, reply.response.status),
        )
        return reply

    def _notice_for(self, host: str, now: float) -> notice.UpstreamNotice | None:
        """Returns what this node knows of the upstream on a host that its node may not know."""
        known = self._notices.notice_of(host)
        leave = self._directory.forgotten_leave(host, now)
        if leave is None or (known and known.upstream.incarnation > leave.incarnation):
            return known
        upstream = notice.UpstreamId(leave.instance, leave.incarnation)
        return notice.UpstreamNotice(upstream, notice.Notice(leaving=True))

    def _record_notice(self, host: str, reply: answer.Answer, sent_at: float) -> None:
        """Takes in what the answer of another node says of its upstream.

        Only a node that has an answer of the upstream knows that there is no notice.
        """
        if reply.upstream_notice is not None or reply.verdict is verdict.Verdict.RUN:
            self._notices.record(host, reply.upstream_notice, sent_at, time.monotonic())

    def _log_failed_attempt(
        self,
        target: record.UpstreamRecord,
        outgoing: OutgoingCall,
        reply: answer.Answer,
        latency_s: float,
    ) -> None:
        refused = reply.verdict is verdict.Verdict.NOT_RUN
        self._log.emit(
            "attempt.refused" if refused else "attempt.failed",
            outgoing.context.request_id,
            reply.reason,
            service=outgoing.service,
            target=target.host,
            verdict=reply.verdict.value,
            ms=round(1000 * latency_s),
            load=round(reply.report.load, 3) if reply.report else None,
            record_version=target.version,
        )

    def _record_attempt(
        self,
        target: record.UpstreamRecord,
        service: str,
        reply: answer.Answer,
        latency_s: float,
        now: float,
        route: str = "",
        kind: Hashable = "",
    ) -> None:
        result = _OUTCOME_BY_REASON.get(reply.reason, outcome.Outcome.FAILED)
        if reply.reason == relay.NODE_FAILED:
            self._on_node_failed(target.host)
        if result is outcome.Outcome.OK:
            self._attempt_times.record(service, latency_s)
        if reply.reason == relay.NODE_FAILED and reply.verdict is verdict.Verdict.NOT_RUN:
            result = outcome.Outcome.UNREACHABLE
        self._chooser.record_outcome(
            target.host, result, reply.report, latency_s, now, kind, _was_accepted(reply)
        )
        if reply.report is not None:
            threshold = None if reply.reason in _IDLE_GATE_REASONS else reply.report.threshold
            self._dependency_thresholds.record_answer(
                service, target.host, threshold, reply.thresholds, now, route
            )


def _was_accepted(reply: answer.Answer) -> bool | None:
    """Returns whether an upstream took a call, None if that isn't known or it did not get it."""
    if reply.verdict is verdict.Verdict.RUN:
        return True
    return False if reply.reason == UPSTREAM_REJECTION_REASON else None


def _kind_of(outgoing: OutgoingCall, status: int) -> Hashable:
    """Returns the properties of a call by which calls that take different times are told apart.

    Where the route is not known, the other properties serve in its place, as calls on one route
    have them in common. The class of the status is included, so that an upstream that fails at once
    does not count as quick.
    """
    call_context = outgoing.context
    return (
        outgoing.route,
        call_context.importance,
        call_context.repeatable,
        call_context.depth,
        call_context.unattributed,
        status // 100,
    )


def _was_unsent(last: answer.Answer) -> bool:
    """Returns whether an attempt certainly reached no upstream."""
    return last.verdict is verdict.Verdict.NOT_RUN and last.reason in _UNSENT_REASONS


def _may_be_sent_again(
    last: answer.Answer, outgoing: OutgoingCall, token: cancellation.Token
) -> bool:
    """Returns whether a further attempt is of use and can't run the call twice."""
    if not last.reason or token.cancelled or last.reason in _FLEET_WIDE_REASONS:
        return False
    was_not_run = last.verdict is verdict.Verdict.NOT_RUN
    # Timers end up to some milliseconds early, so that time may be left on this node's clock.
    has_used_its_time = last.reason == errors.DEADLINE and not was_not_run
    return not has_used_its_time and (outgoing.context.repeatable or was_not_run)


def _combine_answers(earlier: answer.Answer | None, last: answer.Answer) -> answer.Answer:
    """Returns the answer for both attempts, with the verdict that holds for all attempts so far.

    If the last attempt did not run but an earlier one did or may have, NOT_RUN would be wrong.
    """
    if earlier is None or last.verdict is not verdict.Verdict.NOT_RUN:
        return last
    if earlier.verdict is verdict.Verdict.RUN:
        return earlier
    last.set_doubt(earlier.verdict)
    return last


def _no_upstream_error(service: str) -> errors.CallError:
    return errors.CallError(
        f"no ready upstream of service '{service}' is known to this node; start one or try later",
        status=SERVICE_UNAVAILABLE,
        reason="no-upstream",
        retry_after_s=1,
    )
