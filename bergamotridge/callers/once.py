"""Calls with an Idempotency-Key: run at the home of the key, once; repeats join or are refused."""

import asyncio
import functools
import time
from collections.abc import Callable, Sequence
from concurrent import futures

import attrs

from bergamotridge import answer, call, errors, verdict
from bergamotridge.callers import answers, claims
from bergamotridge.nodes import context, dispatch, record, relay
from bergamotridge.util import cancellation, hlc, message

CONFLICT = 409
UNAVAILABLE = 503
BEGINS = 32
JOINS = 128


@attrs.frozen
class ClaimedCall:
    """A call that must run at most once under its key.

    Attributes:
        idempotency_key: Value of the caller's header.
        route: Name of the route.
        outgoing: The call.
    """

    idempotency_key: str
    route: str
    outgoing: dispatch.Outgoing


Members = Callable[[], Sequence[record.UpstreamRecord]]


class OnceDispatcher:
    """Runs a claimed call here if this node is the home of its key, else relays it there."""

    def __init__(
        self,
        host: str,
        held: claims.Claims,
        dispatcher: dispatch.Dispatcher,
        client: relay.RelayClient,
        members: Members,
        stamp: Callable[[], hlc.Stamp],
    ) -> None:
        self._host = host
        self._claims = held
        self._dispatcher = dispatcher
        self._client = client
        self._members = members
        self._stamp = stamp
        self._begins = futures.ThreadPoolExecutor(BEGINS, "claims")
        self._joins = futures.ThreadPoolExecutor(JOINS, "claim-repeats")

    def issue(self) -> str:
        """Returns a new key whose home is this node."""
        return self._claims.issue(time.monotonic())

    async def send(
        self, claimed: ClaimedCall, allowance: call.Allowance, token: cancellation.Token
    ) -> answer.Answer:
        """Sends a call at most once; raises CallError with the verdict over all its repeats."""
        home = self._claims.home_host(claimed.idempotency_key)
        if home == self._host:
            try:
                return await self.run_here(claimed, allowance)
            except errors.ClaimedElsewhereError as error:
                if error.host == self._host:
                    raise
                home = error.host
        return await self._relay(home, claimed, allowance, token)

    async def _relay(
        self,
        home: str,
        claimed: ClaimedCall,
        allowance: call.Allowance,
        token: cancellation.Token,
    ) -> answer.Answer:
        address = self._relay_address(home)
        if address is None:
            raise errors.CallError(
                f"host '{home}', which knows this Idempotency-Key, is not reachable",
                status=UNAVAILABLE,
                reason="idempotency-home",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
                retry_after_s=1,
            )
        outgoing = claimed.outgoing
        granted = allowance.grant()
        relayed = context.RelayedCall(
            outgoing.service,
            outgoing.context,
            granted,
            self._stamp(),
            claimed.idempotency_key,
            claimed.route,
        )
        given = await self._client.send(address, relayed, outgoing.request, token)
        allowance.give_back(given.unused, granted)
        # An earlier repeat may have run even if this one never reached the home.
        if given.reason == "node-failed" and given.verdict is verdict.Verdict.NOT_RUN:
            given.verdict = verdict.Verdict.MAY_HAVE_RUN
        return given

    def _relay_address(self, host: str) -> str | None:
        found = (item.relay_address for item in self._members() if item.host == host)
        return next(found, None)

    async def run_relayed(
        self,
        relayed: context.RelayedCall,
        request: message.Request,
        token: cancellation.Token,
    ) -> answer.Answer:
        """Runs or joins a call that another node relayed here; refusals are answers."""
        del token
        outgoing = dispatch.Outgoing(relayed.service, relayed.context, request)
        claimed = ClaimedCall(relayed.claim, relayed.route, outgoing)
        allowance = call.Allowance(relayed.retries)
        try:
            given = await self.run_here(claimed, allowance)
        except errors.CallError as error:
            given = answer.refuse(error)
        given.unused = allowance.drain()
        return given

    async def run_here(self, claimed: ClaimedCall, allowance: call.Allowance) -> answer.Answer:
        """Runs or joins a call whose key has its home here; raises CallError.

        The call goes on when its caller leaves, so that a repeat finds its answer.
        """
        team = claimed.outgoing.context.team
        now = time.monotonic()
        claim = await self._begin(claimed, team, now)
        if not claim.first:
            return await self._join(claim, claimed.outgoing.context.time_left(now))
        outcome, stored = verdict.Verdict.MAY_HAVE_RUN, None
        try:
            given = await self._dispatcher.send(claimed.outgoing, allowance, cancellation.Token())
            outcome = given.verdict
            if outcome is verdict.Verdict.RUN:
                stored = _store(given.response)
        finally:
            claim.finish(outcome, stored, time.monotonic())
        return given

    async def _begin(self, claimed: ClaimedCall, team: str, now: float) -> claims.Claim:
        """Claims a key; that may ask the platform, so it does not run on the event loop."""
        work = functools.partial(
            self._claims.begin, claimed.idempotency_key, team, claimed.route, now
        )
        return await asyncio.get_running_loop().run_in_executor(self._begins, work)

    async def _join(self, claim: claims.Claim, timeout_s: float) -> answer.Answer:
        wait = functools.partial(claim.wait, max(0.0, timeout_s))
        stored = await asyncio.get_running_loop().run_in_executor(self._joins, wait)
        if stored is not None:
            return answer.Answer(_restore(stored), verdict.Verdict.RUN)
        raise errors.CallError(
            "an earlier call with this Idempotency-Key has given no answer",
            status=CONFLICT,
            reason="idempotency-doubt",
            verdict=claim.outcome,
            retry_after_s=1,
        )


def _store(response: message.Response) -> answers.StoredAnswer:
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in response.headers
    )
    return answers.StoredAnswer(response.status, fields, response.body)


def _restore(stored: answers.StoredAnswer) -> message.Response:
    fields = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in stored.headers]
    return message.Response(stored.status, fields, stored.body)
