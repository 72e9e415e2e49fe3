"""Quarantine: remembers which requests ran at the local upstream when it crashed."""

import time
from collections.abc import Sequence
from typing import Protocol

import attrs
import xxhash

from bergamotridge import call
from bergamotridge.nodes import fingerprint, suspects
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import crash_detector, notice
from bergamotridge.util import message


@attrs.frozen
class SuspectCall:
    """A call that ran at an upstream when it crashed.

    Attributes:
        lost: The call.
        suspicion: How far requests like it are suspected after the crash.
    """

    lost: crash_detector.LostCall
    suspicion: suspects.Suspicion


class Observer(Protocol):
    """Is told of crashes, for events and metrics."""

    def record_crash(self, upstream: notice.UpstreamId, calls: Sequence[SuspectCall]) -> None:
        """Records a crash and the calls that ran, those most suspected first."""


class NoObserver:
    """Ignores everything."""

    def record_crash(self, upstream: notice.UpstreamId, calls: Sequence[SuspectCall]) -> None:
        """Ignores a crash."""


class Quarantine:
    """Keeps requests under which upstreams crashed away from the local upstream.

    Belongs to one event loop.
    """

    def __init__(
        self,
        host: str,
        fingerprinter: fingerprint.Fingerprinter,
        table: suspects.SuspectTable,
        observer: Observer | None = None,
    ) -> None:
        """Creates a quarantine.

        Args:
            host: Name of this host.
            fingerprinter: Computes the fingerprints of requests.
            table: What this node knows of suspects.
            observer: Is told of crashes, if not None.
        """
        self._host = host
        self._fingerprinter = fingerprinter
        self._table = table
        self._observer = observer or NoObserver()
        self._detector = crash_detector.CrashDetector(self._report_crash)

    async def record_lost_connection(
        self,
        current: announcements.Announcement,
        context: call.CallContext,
        request: message.Request,
    ) -> bool:
        """Returns whether the upstream has crashed while it ran a call that lost its connection.

        Args:
            current: Latest announcement of the upstream.
            context: Context of the call.
            request: Request of the call.
        """
        lost = crash_detector.LostCall(
            context.request_id,
            context.team,
            request.method.decode("latin-1"),
            context.virtual_host,
            request.path,
            self._fingerprinter.compute(current.service, context.virtual_host, request),
        )
        return await self._detector.has_crashed(current, lost)

    async def _report_crash(self, found: crash_detector.UpstreamCrash) -> None:
        now = time.monotonic()
        crash = suspects.Crash(_crash_id(self._host, found.upstream), now)
        self._table.add_crash(crash, {item.fingerprint for item in found.calls}, now)
        calls = [
            SuspectCall(item, self._table.suspicion(item.fingerprint, now)) for item in found.calls
        ]
        calls.sort(key=lambda item: item.suspicion.crashes, reverse=True)
        self._observer.record_crash(found.upstream, calls)


def _crash_id(host: str, upstream: notice.UpstreamId) -> int:
    identity = f"{host}\n{upstream.instance}\n{upstream.incarnation}"
    return xxhash.xxh3_64_intdigest(identity.encode())
