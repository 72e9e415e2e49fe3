"""Calls relayed between nodes: the client side and the port that takes them in."""

import time
from typing import Protocol

from bergamotridge import answer, errors, events, headers, verdict
from bergamotridge.nodes import below
from bergamotridge.nodes import context as context_header
from bergamotridge.upstreams import local
from bergamotridge.util import cancellation, http_client, message

GRACE_S = 0.02


class RelayClient:
    """Sends calls to the nodes of other hosts."""

    def __init__(self, pools: http_client.Pools, token: str, log: events.EventLog) -> None:
        self._pools = pools
        self._token = token
        self._log = log

    async def send(
        self,
        address: str,
        relayed: context_header.RelayedCall,
        request: message.Request,
        token: cancellation.Token,
    ) -> answer.Answer:
        """Relays one call to the node at `address` and returns its end; never raises CallError."""
        now = time.monotonic()
        header = context_header.encode(self._token, relayed, now)
        fields = [(b"host", address.encode()), *request.headers, header]
        sent = message.Request(request.method, request.target, fields, request.body)
        # The callee enforces the deadline; the grace lets its own verdict come back first.
        limit = relayed.context.time_left(now) + GRACE_S
        try:
            response = await self._pools.to(address).send(sent, limit, token)
        except http_client.TransferError as error:
            return _lost(address, error, relayed.retries, cancelled=token.cancelled)
        given = context_header.decode_report(response)
        if given is None:
            error = http_client.TransferError(
                "the answer carries no report", verdict.Verdict.MAY_HAVE_RUN
            )
            return _lost(address, error, relayed.retries)
        if given.stamp is not None:
            self._log.clock.observe(given.stamp)
        return given


def _reason(error: http_client.TransferError, cancelled: bool) -> str:
    if cancelled:
        return "cancelled"
    return "deadline" if error.timed_out else "node-failed"


def _lost(
    address: str, error: http_client.TransferError, retries: int, *, cancelled: bool = False
) -> answer.Answer:
    failure = errors.CallError(
        f"node at '{address}': {error}",
        status=504 if error.timed_out else 502,
        reason=_reason(error, cancelled),
        verdict=error.verdict,
        retry_after_s=1,
    )
    # What became of the grant is unknown once the call may have run, so it counts as spent.
    unused = retries if error.verdict is verdict.Verdict.NOT_RUN else 0
    return answer.refuse(failure, unused)


class ClaimRunner(Protocol):
    """Runs calls whose idempotency key has its home here."""

    async def run_relayed(
        self,
        relayed: context_header.RelayedCall,
        request: message.Request,
        token: cancellation.Token,
    ) -> answer.Answer:
        """Runs or joins the call; refusals are answers, never exceptions."""


class RelayPort:
    """Takes in relayed calls for the upstream on this host, or to be dispatched under a claim."""

    def __init__(
        self,
        upstream: local.LocalUpstream,
        fleet_token: str,
        log: events.EventLog,
        known: below.Below,
        claims: ClaimRunner,
    ) -> None:
        self._upstream = upstream
        self._token = fleet_token
        self._log = log
        self._below = known
        self._claims = claims

    async def handle(self, request: message.Request, token: cancellation.Token) -> message.Response:
        """Answers one relayed call; a handler for `httpd.Server`."""
        now = time.monotonic()
        try:
            relayed = context_header.decode(
                self._token, request.header(context_header.CONTEXT_HEADER), now
            )
        except context_header.ContextError as error:
            return answer.refusal(403, str(error), "relay")
        if relayed.stamp is not None:
            self._log.clock.observe(relayed.stamp)
        fields = headers.for_upstream(request.headers)
        clean = message.Request(request.method, request.target, fields, request.body)
        if relayed.claim:
            given = await self._claims.run_relayed(relayed, clean, token)
        else:
            given = await self._upstream.run(
                relayed.service, relayed.context, clean, relayed.retries, token
            )
            given.report = self._upstream.report(time.monotonic())
        given.thresholds = self._below.encode(relayed.service, time.monotonic())
        given.stamp = self._log.clock.stamp(time.time_ns() // 1_000_000)
        report = context_header.encode_report(given)
        fields = [*given.response.headers, report]
        return message.Response(given.response.status, fields, given.response.body)
