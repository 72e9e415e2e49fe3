"""Tells the crash of the upstream on this host from connections that are lost one by one."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import attrs

from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import notice

GATHER_S = 0.005  # For the other connections of an upstream that crashes to be lost as well.
# A process that ends may still take connections for a moment.
SECOND_PROBE_AFTER_S = 0.03
PROBE_TIMEOUT_S = 0.3


@attrs.frozen
class LostCall:
    """A call whose connection to the upstream was lost while it ran.

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
        calls: Calls that ran.
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


class CrashDetector:
    """Probes the upstream when a call loses its connection; belongs to one event loop.

    The upstream has crashed if it takes no connection any more, unless it had said that it leaves.
    """

    def __init__(
        self,
        report: Callable[[UpstreamCrash], Awaitable[None]],
        listening: Callable[[str], Awaitable[bool]] = is_listening,
    ) -> None:
        """Creates a detector.

        Args:
            report: Awaited with each crash, before the calls that ran are answered. A crash may be
                reported in parts, each with other calls.
            listening: Returns whether an address takes connections.
        """
        self._report = report
        self._listening = listening
        self._loss: _Loss | None = None

    async def has_crashed(self, current: announcements.Announcement, lost_call: LostCall) -> bool:
        """Returns whether the upstream has crashed while a call ran.

        Args:
            current: Latest announcement of the upstream that the call was sent to.
            lost_call: The call.
        """
        if current.state is record.State.DRAINING or current.last:
            return False
        loss = self._loss
        if loss is None or loss.upstream != current.upstream_id:
            loss = self._loss = _Loss(current.upstream_id)
            loss.verdict = asyncio.ensure_future(self._investigate(loss, current.address))
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
            await self._report(UpstreamCrash(loss.upstream, loss.calls))
        return not listening
