"""Decides whether a report of the upstream on this host is of now, in a process without memory."""

import attrs

from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import departures, notice

# Of the interval between two heartbeats. Reports that were held up arrive together; those of an
# upstream that lives come in its rhythm, of which some are lost.
MIN_PAUSE_FRACTION = 0.5
MAX_PAUSE_FRACTION = 3.0
MIN_REPORTS = 3
# No upstream leaves so soon after its start. Hosts start their node and upstream together.
MIN_LIFE_MS = 2000


@attrs.define
class _Progress:
    """Reports of one start of the upstream that came in the rhythm of heartbeats.

    Attributes:
        upstream: The start.
        began_at: Monotonic time in seconds of the first one.
        counted_at: Monotonic time in seconds of the last one that counts.
        sequence: Its sequence number.
        reports: Number of those that count.
    """

    upstream: notice.UpstreamId
    began_at: float
    counted_at: float
    sequence: int
    reports: int = 1


class ReportProof:
    """Holds back reports that an upstream may have sent before it left; not thread-safe.

    A process may follow one that has confirmed a leave and was killed before it told anyone. So it
    doesn't believe that an upstream is ready which started `MIN_LIFE_MS` or longer before it, until
    one of these is proof:

    * The upstream itself answers, when it is asked on this host, that it is alive and not leaving.
    * Reports with ascending sequence numbers have come in the rhythm of heartbeats for longer than
      a report can be late: the last of them was sent after any leave that was forgotten.

    That an upstream leaves is believed at once, and so are reports without a sequence number, which
    never are late.
    """

    def __init__(self, started_ms: int, heartbeat_s: float) -> None:
        """Starts without a report.

        Args:
            started_ms: Unix time in milliseconds at which this process started.
            heartbeat_s: Seconds between two reports.
        """
        self._started_ms = started_ms
        self._heartbeat_s = heartbeat_s
        self._held: announcements.Announcement | None = None
        self._progress: _Progress | None = None
        self._proven: notice.UpstreamId | None = None
        self._instance_alive = ""

    @property
    def heartbeat_s(self) -> float:
        """Seconds between two reports."""
        return self._heartbeat_s

    @property
    def held(self) -> announcements.Announcement | None:
        """The latest report that is held back, None if there is none."""
        return self._held

    def is_believed(self, received: announcements.Announcement, now: float) -> bool:
        """Returns whether a report counts now; one that doesn't is held back.

        Args:
            received: A report that is not outdated.
            now: Monotonic time in seconds.
        """
        if received.state is not record.State.READY:
            self._drop_held(received.instance)
            return True
        if not self._needs_proof(received):
            self._held = self._progress = None
            return True
        if self._advance(received, now):
            self._accept(received.upstream_id)
            return True
        self._held = received
        return False

    def record_answer(self, instance: str) -> announcements.Announcement | None:
        """Takes in which upstream has answered that it is alive and not leaving.

        Args:
            instance: Its id.

        Returns:
            The report that was held back and counts now, None if there is none.
        """
        self._instance_alive = instance
        held = self._held
        if held is None or not instance or held.instance != instance:
            return None
        self._accept(held.upstream_id)
        return held

    def _needs_proof(self, received: announcements.Announcement) -> bool:
        if received.sequence is None or received.incarnation > self._started_ms - MIN_LIFE_MS:
            return False
        if self._instance_alive and received.instance == self._instance_alive:
            return False
        return received.upstream_id != self._proven

    def _accept(self, upstream: notice.UpstreamId) -> None:
        self._proven, self._held, self._progress = upstream, None, None

    def _drop_held(self, instance: str) -> None:
        if self._held is not None and self._held.instance == instance:
            self._held = self._progress = None

    def _advance(self, received: announcements.Announcement, now: float) -> bool:
        """Counts a report; returns whether those that were counted are proof."""
        progress = self._progress
        if progress is None or self._breaks_off(progress, received, now):
            self._progress = _Progress(received.upstream_id, now, now, received.sequence)
            return False
        pause_s = now - progress.counted_at
        in_rhythm = pause_s >= MIN_PAUSE_FRACTION * self._heartbeat_s
        if in_rhythm and received.sequence > progress.sequence:
            progress.counted_at, progress.sequence = now, received.sequence
            progress.reports += 1
        lasted_s = progress.counted_at - progress.began_at
        return progress.reports >= MIN_REPORTS and lasted_s >= departures.LATE_ANNOUNCEMENT_S

    def _breaks_off(
        self, progress: _Progress, received: announcements.Announcement, now: float
    ) -> bool:
        if received.upstream_id != progress.upstream:
            return True
        return now - progress.counted_at > MAX_PAUSE_FRACTION * self._heartbeat_s
