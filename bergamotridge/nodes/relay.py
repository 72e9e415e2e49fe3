"""Calls relayed between nodes: the client that sends them and the port that receives them."""

import time
from collections.abc import Callable
from typing import Protocol

import logbook

from bergamotridge import answer, errors, events, headers, verdict
from bergamotridge.nodes import context as context_header
from bergamotridge.nodes import dependency_thresholds
from bergamotridge.upstreams import local_upstream
from bergamotridge.util import cancellation, http_client, message

_log = logbook.Logger(__name__)

ANSWER_GRACE_S = 0.02
NODE_FAILED = "node-failed"
NODE_REFUSED = "node-refused"
# With these, a port refuses what it can't read, or is too long for it, from any node.
REQUEST_STATUSES = frozenset((400, 405, 413, 414, 431))


class RelayClient:
    """Relays calls to the nodes of other hosts."""

    def __init__(self, pools: http_client.Pools, fleet_token: str, log: events.EventLog) -> None:
        self._pools = pools
        self._fleet_token = fleet_token
        self._log = log

    async def send(
        self,
        address: str,
        relayed: context_header.RelayedCall,
        request: message.Request,
        token: cancellation.Token,
    ) -> answer.Answer:
        """Relays one call to the node at `address` and returns its answer.

        A transfer that fails or whose answer has no report is returned as a refusal, so this never
        raises CallError.
        """
        now = time.monotonic()
        if relayed.context.time_left(now) <= 0:
            return answer.from_error(_no_time_left_error(), relayed.retries)
        context_field = context_header.encode(self._fleet_token, relayed, now)
        notice_fields = context_header.encode_notice(relayed.upstream_notice)
        fields = [(b"host", address.encode()), *request.headers, *notice_fields, context_field]
        sent = message.Request(request.method, request.target, fields, request.body)
        # The callee enforces the deadline. The grace lets its answer, which carries the verdict,
        # arrive before the transfer times out here.
        timeout_s = relayed.context.time_left(now) + ANSWER_GRACE_S
        try:
            response = await self._pools.pool_for(address).send(sent, timeout_s, token)
        except http_client.TransferError as error:
            return _answer_failed_transfer(
                address, error, relayed.retries, cancelled=token.cancelled
            )
        received = context_header.decode_report(response)
        if received is None:
            return _answer_without_report(address, response, relayed.retries)
        if received.stamp is not None:
            self._log.clock.observe(received.stamp)
        return received


def _answer_without_report(address: str, response: message.Response, retries: int) -> answer.Answer:
    """Returns the answer for a call whose response has no readable report.

    The port itself of a node answers so when it takes no call: it is full, stops or can't read the
    call. It says so by the verdict, which no answer of an upstream has kept.
    """
    claimed = (response.header(answer.VERDICT_HEADER) or b"").decode("latin-1")
    if verdict.parse(claimed) is not verdict.Verdict.NOT_RUN:
        error = http_client.TransferError(
            "the answer has no readable report header; check that a node answers there",
            verdict.Verdict.MAY_HAVE_RUN,
        )
        return _answer_failed_transfer(address, error, retries)
    is_of_request = response.status in REQUEST_STATUSES
    failure = errors.CallError(
        f"the port of the node at '{address}' refused the call with status {response.status}",
        status=503,
        reason=NODE_REFUSED if is_of_request else NODE_FAILED,
        verdict=verdict.Verdict.NOT_RUN,
        retry_after_s=1,
    )
    return answer.from_error(failure, retries)


def _failure_reason(error: http_client.TransferError, cancelled: bool) -> str:
    if cancelled:
        return "cancelled"
    return errors.DEADLINE if error.timed_out else NODE_FAILED


def _answer_failed_transfer(
    address: str, error: http_client.TransferError, retries: int, *, cancelled: bool = False
) -> answer.Answer:
    status = 504 if error.timed_out else 502
    if error.verdict is verdict.Verdict.NOT_RUN:
        status = 503
    failure = errors.CallError(
        f"node at '{address}': {error}",
        status=status,
        reason=_failure_reason(error, cancelled),
        verdict=error.verdict,
        retry_after_s=1,
    )
    # Once the call may have run, the number of retries it spent is unknown, so all count as spent.
    unused = retries if error.verdict is verdict.Verdict.NOT_RUN else 0
    return answer.from_error(failure, unused)


def _no_time_left_error() -> errors.CallError:
    return errors.CallError(
        "the time limit of the call had passed before it was sent to another node",
        status=503,
        reason=errors.DEADLINE,
        retry_after_s=1,
    )


class ClaimRunner(Protocol):
    """Runs calls whose idempotency key has this node as its home."""

    async def run_relayed(
        self,
        relayed: context_header.RelayedCall,
        request: message.Request,
        token: cancellation.Token,
    ) -> answer.Answer:
        """Runs the call, or waits for a run of the same key; refusals are returned, not raised."""


class RelayPort:
    """Receives relayed calls and runs them at the upstream on this host, or under a claim.

    A call with a claim is dispatched by this node, which is the home of its idempotency key.
    """

    def __init__(
        self,
        upstream: local_upstream.LocalUpstream,
        fleet_token: str,
        log: events.EventLog,
        service_thresholds: dependency_thresholds.DependencyThresholds,
        claims: ClaimRunner,
        name_route: Callable[[str, str, str], str] | None = None,
    ) -> None:
        """Creates a port.

        Args:
            upstream: The upstream on this host.
            fleet_token: Token that other nodes send.
            log: Its clock observes the times of other nodes.
            service_thresholds: Thresholds of the services below a call.
            claims: Runs calls with a claim.
            name_route: Returns the route of a method, path and host, if routes are told apart.
        """
        self._upstream = upstream
        self._fleet_token = fleet_token
        self._log = log
        self._dependency_thresholds = service_thresholds
        self._claims = claims
        self._name_route = name_route

    async def handle(self, request: message.Request, token: cancellation.Token) -> message.Response:
        """Answers one relayed call, as a handler of `httpd.Server`."""
        try:
            relayed = self._receive(request, time.monotonic())
        except context_header.ContextError as error:
            return answer.fixed_refusal(403, str(error), "relay")
        except Exception:
            _log.exception("a relayed call failed before it was handed on")
            fault = answer.fault_before_send()
            return answer.fixed_refusal(fault.status, str(fault), fault.reason)
        fields = headers.for_upstream(request.headers)
        forwarded = message.Request(request.method, request.target, fields, request.body)
        if relayed.claim:
            answered = await self._claims.run_relayed(relayed, forwarded, token)
        else:
            answered = await self._upstream.run(
                relayed.service, relayed.context, forwarded, relayed.retries, token
            )
            answered.report = self._upstream.report(time.monotonic())
            answered.upstream_notice = self._upstream.upstream_notice
        answered.thresholds = self._dependency_thresholds.encode(
            relayed.service, time.monotonic(), self._route_of(relayed, request)
        )
        answered.stamp = self._log.clock.stamp(time.time_ns() // 1_000_000)
        report_field = context_header.encode_report(answered)
        notice_fields = context_header.encode_notice(answered.upstream_notice)
        fields = [*answered.response.headers, *notice_fields, report_field]
        return message.Response(answered.response.status, fields, answered.response.body)

    def _route_of(self, relayed: context_header.RelayedCall, request: message.Request) -> str:
        """Returns the route of a call that ran at the upstream, "" if that is of no interest."""
        if self._name_route is None or relayed.claim:
            return ""
        method = request.method.decode("latin-1")
        return self._name_route(method, request.path, relayed.context.virtual_host)

    def _receive(self, request: message.Request, now: float) -> context_header.RelayedCall:
        """Returns the call that was relayed, and takes in what its sender knows.

        Raises:
            ContextError: Its headers are missing or malformed.
        """
        relayed = context_header.decode(
            self._fleet_token, request.header(context_header.CONTEXT_HEADER), now
        )
        passed_on = context_header.decode_notice(request.header(context_header.NOTICE_HEADER))
        if relayed.stamp is not None:
            self._log.clock.observe(relayed.stamp)
        if passed_on is not None and not relayed.claim:
            self._upstream.adopt_notice(passed_on, relayed.context.request_id, now)
        return relayed
