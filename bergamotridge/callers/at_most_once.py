"""Runs a call with an Idempotency-Key once, at the home of the key; repeats join or are refused."""

import asyncio
import functools
import time
from collections.abc import Callable, Sequence
from concurrent import futures

import attrs

from bergamotridge import answer, call, errors, verdict
from bergamotridge.callers import answers, claim_state, claims, idempotency, shutdown
from bergamotridge.nodes import context, dispatch, record, relay
from bergamotridge.util import cancellation, hlc, message

CONFLICT = 409
UNAVAILABLE = 503
BEGIN_THREADS = 32  # Each may wait for the platform to confirm a claim.
ISSUED_THREADS = 2  # Claims of keys that nodes issued don't wait for the platform.
JOIN_THREADS = 128  # Each waits for the first call with a key to end.


@attrs.frozen
class ClaimedCall:
    """A call that must run at most once for its idempotency key.

    Attributes:
        idempotency_key: Value of the caller's header.
        route: Name of the route that the call matched.
        outgoing: The call to send to an upstream.
    """

    idempotency_key: str
    route: str
    outgoing: dispatch.OutgoingCall


ListMembers = Callable[[], Sequence[record.UpstreamRecord]]


class AtMostOnceDispatcher:
    """Runs a claimed call here if this node is the home of its key, else relays it to the home."""

    def __init__(
        self,
        host: str,
        node_claims: claims.Claims,
        dispatcher: dispatch.Dispatcher,
        relay_client: relay.RelayClient,
        list_members: ListMembers,
        stamp: Callable[[], hlc.Stamp],
        node_shutdown: shutdown.Shutdown,
    ) -> None:
        """Creates the dispatcher and its thread pools.

        Args:
            host: Name of this host.
            node_claims: Claims whose home is this node.
            dispatcher: Sends the calls that run here.
            relay_client: Sends calls to the nodes of other hosts.
            list_members: Returns the records of all upstreams in this node's membership.
            stamp: Returns the current hybrid logical time.
            node_shutdown: Refuses calls that come too late in the planned stop of this node.
        """
        self._host = host
        self._claims = node_claims
        self._dispatcher = dispatcher
        self._relay_client = relay_client
        self._list_members = list_members
        self._stamp = stamp
        self._shutdown = node_shutdown
        self._begin_pool = futures.ThreadPoolExecutor(BEGIN_THREADS, "claims")
        self._issued_pool = futures.ThreadPoolExecutor(ISSUED_THREADS, "issued-claims")
        self._join_pool = futures.ThreadPoolExecutor(JOIN_THREADS, "claim-repeats")

    def issue(self) -> str:
        """Returns a new idempotency key whose home is this node."""
        return self._claims.issue(time.monotonic())

    async def send(
        self, claimed: ClaimedCall, allowance: call.Allowance, token: cancellation.Token
    ) -> answer.Answer:
        """Sends a call at most once.

        Args:
            claimed: The call and its key.
            allowance: Retries that the call may spend.
            token: Cancels a relayed call; a call that runs here continues.

        Raises:
            CallError: The call was refused or failed; the verdict covers all calls with its key.
        """
        home = self._claims.home_host(claimed.idempotency_key)
        if home == self._host:
            try:
                return await self.run_or_join(claimed, allowance)
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
                f"host '{home}', which holds the claim of this Idempotency-Key, is not reachable; "
                "retry with the same key",
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
        result = await self._relay_client.send(address, relayed, outgoing.request, token)
        allowance.give_back(result.unused, granted)
        # An earlier call with the key may have run even if this one did not reach the home.
        if result.stamp is None and result.verdict is verdict.Verdict.NOT_RUN:
            result.set_doubt(verdict.Verdict.MAY_HAVE_RUN)
        return result

    def _relay_address(self, host: str) -> str | None:
        addresses = (item.relay_address for item in self._list_members() if item.host == host)
        return next(addresses, None)

    async def run_relayed(
        self,
        relayed: context.RelayedCall,
        request: message.Request,
        token: cancellation.Token,
    ) -> answer.Answer:
        """Runs or joins a call that another node relayed here; returns errors as answers."""
        del token
        limited = self._shutdown.limit(relayed.context.deadline)
        call_context = attrs.evolve(relayed.context, deadline=limited)
        outgoing = dispatch.OutgoingCall(relayed.service, call_context, request, relayed.route)
        claimed = ClaimedCall(relayed.claim, relayed.route, outgoing)
        allowance = call.Allowance(relayed.retries)
        try:
            self._check_shutdown(relayed.context)
            result = await self.run_or_join(claimed, allowance)
        except errors.CallError as error:
            result = answer.from_error(error)
        result.unused = allowance.drain()
        return result

    def _check_shutdown(self, context: call.CallContext) -> None:
        try:
            self._shutdown.check(context.request_id, context.deadline, time.monotonic())
        except errors.CallError as error:
            # The claim was not looked up, so an earlier call with the key may have run.
            error.verdict = verdict.Verdict.MAY_HAVE_RUN
            raise

    async def run_or_join(self, claimed: ClaimedCall, allowance: call.Allowance) -> answer.Answer:
        """Runs a call here, or joins the first call with its key; raises CallError.

        The call continues after its caller disconnects, so that a repeat gets its answer.
        """
        team = claimed.outgoing.context.team
        now = time.monotonic()
        claim = await self._begin(claimed, team, now)
        if not claim.first:
            return await self._join(claim, claimed.outgoing.context.time_left(now))
        outcome, stored = verdict.Verdict.MAY_HAVE_RUN, None
        try:
            result = await self._dispatcher.send(claimed.outgoing, allowance, cancellation.Token())
            outcome = result.verdict
            if outcome is verdict.Verdict.RUN:
                stored = _to_stored_answer(result.response)
        finally:
            claim.finish(outcome, stored, time.monotonic())
        return result

    async def _begin(self, claimed: ClaimedCall, team: str, now: float) -> claim_state.Claim:
        """Claims a key in a thread, as a request to the platform would block the event loop."""
        begin_claim = functools.partial(
            self._claims.begin, claimed.idempotency_key, team, claimed.route, now
        )
        is_issued = idempotency.parse(claimed.idempotency_key) is not None
        pool = self._issued_pool if is_issued else self._begin_pool
        return await asyncio.get_running_loop().run_in_executor(pool, begin_claim)

    async def _join(self, claim: claim_state.Claim, timeout_s: float) -> answer.Answer:
        """Waits in a thread for the first call with the key and returns its answer."""
        wait_for_answer = functools.partial(claim.wait, max(0.0, timeout_s))
        stored = await asyncio.get_running_loop().run_in_executor(self._join_pool, wait_for_answer)
        if stored is not None:
            return answer.Answer(_to_response(stored), verdict.Verdict.RUN)
        raise errors.CallError(
            "no answer to an earlier call with this Idempotency-Key is available; "
            "retry with the same key",
            status=CONFLICT,
            reason="idempotency-doubt",
            verdict=claim.outcome,
            retry_after_s=1,
        )


def _to_stored_answer(response: message.Response) -> answers.StoredAnswer:
    fields = tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in response.headers
    )
    return answers.StoredAnswer(response.status, fields, response.body)


def _to_response(stored: answers.StoredAnswer) -> message.Response:
    fields = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in stored.headers]
    return message.Response(stored.status, fields, stored.body)
