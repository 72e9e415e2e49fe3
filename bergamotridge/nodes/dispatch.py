"""Sends a call to an upstream of its service, here or on another host, and retries it."""

import time
from collections.abc import Sequence
from typing import Protocol

import attrs

from bergamotridge import answer, call, errors, events, verdict
from bergamotridge.nodes import below, budget, choice, context, record, relay
from bergamotridge.upstreams import local, outcome
from bergamotridge.util import cancellation, message

SERVICE_UNAVAILABLE = 503
_OUTCOMES = {
    "": outcome.Outcome.OK,
    "upstream-shed": outcome.Outcome.SHED,
    "shed": outcome.Outcome.SHED,
    "cancelled": outcome.Outcome.CANCELLED,
    "deadline": outcome.Outcome.TIMED_OUT,
    "draining": outcome.Outcome.REFUSED,
    "no-upstream": outcome.Outcome.REFUSED,
}


# Reasons of refusals that say only that the upstream is not at this host any more.
_ELSEWHERE = frozenset(("draining", "no-upstream", "node-failed"))


class Candidates(Protocol):
    """Knows the upstreams of each service."""

    def candidates(self, service: str) -> Sequence[record.UpstreamRecord]:
        """Returns the ready upstreams of a service."""


@attrs.frozen
class Outgoing:
    """A call that is to be sent to some upstream of a service."""

    service: str
    context: call.CallContext
    request: message.Request


class Dispatcher:
    """Chooses an upstream for each attempt; every retry is paid from the request's allowance."""

    def __init__(
        self,
        host: str,
        upstream: local.LocalUpstream,
        client: relay.RelayClient,
        known: Candidates,
        chooser: choice.Chooser,
        retry_budget: budget.RetryBudget,
        learned: below.Below,
        log: events.EventLog,
    ) -> None:
        self._host = host
        self._upstream = upstream
        self._client = client
        self._known = known
        self._chooser = chooser
        self._budget = retry_budget
        self._below = learned
        self._log = log

    async def send(
        self, outgoing: Outgoing, allowance: call.Allowance, token: cancellation.Token
    ) -> answer.Answer:
        """Sends a call, with retries as far as its verdicts, allowance and deadline let it."""
        excluded: set[str] = set()
        last: answer.Answer | None = None
        while True:
            now = time.monotonic()
            known = self._known.candidates(outgoing.service)
            target = self._chooser.choose(known, excluded, now, outgoing.context.repeatable)
            if target is None:
                return last or answer.refuse(_no_upstream(outgoing.service))
            if last is None:
                self._budget.first_attempt(outgoing.service, now)
            last = _joined(last, await self._attempt(target, outgoing, allowance, token))
            if not self._may_retry(last, outgoing, allowance, token):
                return last
            excluded.add(target.host)
            self._log.emit(
                "call.retried", outgoing.context.request_id, last.reason, service=outgoing.service
            )

    async def _attempt(
        self,
        target: record.UpstreamRecord,
        outgoing: Outgoing,
        allowance: call.Allowance,
        token: cancellation.Token,
    ) -> answer.Answer:
        started = time.monotonic()
        granted = allowance.grant()
        if target.host == self._host:
            given = await self._upstream.run(
                outgoing.service, outgoing.context, outgoing.request, granted, token
            )
            given.report = self._upstream.report(time.monotonic())
        else:
            stamp = self._log.clock.stamp(time.time_ns() // 1_000_000)
            relayed = context.RelayedCall(outgoing.service, outgoing.context, granted, stamp)
            given = await self._client.send(target.relay_address, relayed, outgoing.request, token)
        given.host = target.host
        allowance.give_back(given.unused, granted)
        ended = time.monotonic()
        if given.reason:
            self._tell(target, outgoing, given, ended - started)
        self._learn(target, outgoing.service, given, ended - started, ended)
        return given

    def _tell(
        self,
        target: record.UpstreamRecord,
        outgoing: Outgoing,
        given: answer.Answer,
        seconds: float,
    ) -> None:
        refused = given.verdict is verdict.Verdict.NOT_RUN
        self._log.emit(
            "attempt.refused" if refused else "attempt.failed",
            outgoing.context.request_id,
            given.reason,
            service=outgoing.service,
            target=target.host,
            verdict=given.verdict.value,
            ms=round(1000 * seconds),
            load=round(given.report.load, 3) if given.report else None,
            record_version=target.version,
        )

    def _learn(
        self,
        target: record.UpstreamRecord,
        service: str,
        given: answer.Answer,
        latency_s: float,
        now: float,
    ) -> None:
        ended = _OUTCOMES.get(given.reason, outcome.Outcome.FAILED)
        if given.reason == "node-failed" and given.verdict is verdict.Verdict.NOT_RUN:
            ended = outcome.Outcome.UNREACHABLE
        self._chooser.report(target.host, ended, given.report, latency_s, now)
        if given.report is not None:
            threshold = given.report.threshold
            self._below.record_answer(service, target.host, threshold, given.thresholds, now)

    def _may_retry(
        self,
        last: answer.Answer,
        outgoing: Outgoing,
        allowance: call.Allowance,
        token: cancellation.Token,
    ) -> bool:
        if not last.reason or token.cancelled:
            return False
        repeatable = outgoing.context.repeatable or last.verdict is verdict.Verdict.NOT_RUN
        now = time.monotonic()
        if not repeatable or outgoing.context.time_left(now) <= 0:
            return False
        if last.verdict is verdict.Verdict.NOT_RUN and last.reason in _ELSEWHERE:
            # No upstream was troubled, so neither the allowance nor the budget pays for it.
            return True
        return self._budget.may_retry(outgoing.service, now) and allowance.spend()


def _joined(earlier: answer.Answer | None, last: answer.Answer) -> answer.Answer:
    """Returns the answer for both attempts: its verdict speaks for all that was sent."""
    if earlier is None or last.verdict is not verdict.Verdict.NOT_RUN:
        return last
    if earlier.verdict is verdict.Verdict.RUN:
        return earlier
    last.verdict = earlier.verdict
    return last


def _no_upstream(service: str) -> errors.CallError:
    return errors.CallError(
        f"no upstream of service '{service}' is known",
        status=SERVICE_UNAVAILABLE,
        reason="no-upstream",
        retry_after_s=1,
    )
