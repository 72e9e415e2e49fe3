"""Tells the crash of the upstream on this host from connections that are lost one by one."""

import asyncio
import collections
import time
from collections.abc import Awaitable, Callable, Sequence

import attrs

from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import notice

GATHER_S = 0.005  # For the other connections of an upstream that crashes to be lost as well.
# A process that ends may still take connections for a moment.
SECOND_PROBE_AFTER_S = 0.03
PROBE_TIMEOUT_S = 0.3
# An upstream may go on with a call after the connection was closed on it.
ABANDONED_S = 5.0
MAX_ABANDONED_CALLS = 256


@attrs.frozen
class LostCall:
    """A call that ran at the upstream and will have no answer.

    Attributes:
        request_id: Id of the request that the call is a part of.
        team: Team of the request, "" if it has none.
        method: HTTP method.
        virtual_host: Host name that the caller addressed, "" if routes do not depend on it.
        path: Path without the query.
        fingerprint: Fingerprint of the call.
        ran_alone: True if it ran as a trial with no other suspect.
    """

    request_id: str
    team: str
    method: str
    virtual_host: str
    path: str
    fingerprint: int
    ran_alone: bool = False


@attrs.frozen
class UpstreamCrash:
    """The crash of an upstream process.

    Attributes:
        upstream: The start of the process.
        calls: Calls that ran, or may have gone on after the connection was closed on them.
    """

    upstream: notice.UpstreamId
    calls: Sequence[LostCall]


async def is_listening(address: str) -> bool:
    """Returns False if connections to an address, IP:PORT, are refused; True if that is unknown."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
    except ConnectionRefusedError:
        return False
    except OSError:
        return True
    writer.transport.abort()
    return True


@attrs.define(eq=False)
class _Loss:
    """Calls to one start of the upstream that were lost at nearly the same time."""

    upstream: notice.UpstreamId
    calls: list[LostCall] = attrs.field(factory=list)
    verdict: "asyncio.Task[bool] | None" = None


@attrs.frozen
class _AbandonedCall:
    """A call on which the node closed the connection before there was an answer."""

    upstream: notice.UpstreamId
    call: LostCall
    abandoned_at: float


class CrashDetector:
    """Probes the upstream when a call loses its connection; belongs to one event loop.

    The upstream has crashed if it takes no connection any more, unless it had said that it leaves.
    """

    def __init__(
        self,
        report: Callable[[UpstreamCrash], Awaitable[None]],
        listening: Callable[[str], Awaitable[bool]] = is_listening,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a detector.

        Args:
            report: Awaited with each crash, before the calls that ran are answered. A crash may be
                reported in parts, each with other calls.
            listening: Returns whether an address takes connections.
            clock: Returns the monotonic time in seconds.
        """
        self._report = report
        self._listening = listening
        self._clock = clock
        self._abandoned: collections.deque[_AbandonedCall] = collections.deque(
            maxlen=MAX_ABANDONED_CALLS
        )
        self._loss: _Loss | None = None

    def record_abandoned(self, upstream: notice.UpstreamId, call: LostCall) -> None:
        """Records that the connection was closed on a call, which may go on at the upstream."""
        self._abandoned.append(_AbandonedCall(upstream, call, self._clock()))

    async def has_crashed(
        self, current: announcements.Announcement, lost_call: LostCall | None
    ) -> bool:
        """Returns whether the upstream has crashed.

        Args:
            current: Latest announcement of the upstream.
            lost_call: Call that ran there and lost its connection; None if a connection was
                refused.
        """
        if current.state is record.State.DRAINING or current.last:
            return False
        loss = self._loss
        if loss is None or loss.upstream != current.upstream_id:
            loss = self._loss = _Loss(current.upstream_id)
            loss.verdict = asyncio.ensure_future(self._investigate(loss, current.address))
        if lost_call is not None:
            loss.calls.append(lost_call)
        return await asyncio.shield(loss.verdict)

    async def _investigate(self, loss: _Loss, address: str) -> bool:
        await asyncio.sleep(GATHER_S)
        listening = await self._listening(address)
        if listening:
            await asyncio.sleep(SECOND_PROBE_AFTER_S)
            listening = await self._listening(address)
        if self._loss is loss:
            # Calls that are lost from now on are investigated anew.
            self._loss = None
        if not listening:
            calls = [*loss.calls, *self._take_abandoned(loss.upstream)]
            await self._report(UpstreamCrash(loss.upstream, calls))
        return not listening

    def _take_abandoned(self, upstream: notice.UpstreamId) -> list[LostCall]:
        """Returns the calls that may have run at an upstream when it crashed, and forgets them."""
        since = self._clock() - ABANDONED_S
        taken = [
            item.call
            for item in self._abandoned
            if item.upstream == upstream and item.abandoned_at >= since
        ]
        self._abandoned.clear()
        return taken
