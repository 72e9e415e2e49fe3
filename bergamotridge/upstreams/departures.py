"""Order of announcements and deregistrations of the upstream on this host."""

import attrs

from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement as announcements

# An announcement that was sent before the deregistration may arrive as late as this after it.
LATE_ANNOUNCEMENT_S = 5.0
# Announcements after that time which show that a deregistration was not of their sender.
ANNOUNCEMENTS_UNTIL_ALIVE = 3
# Announcements that a partition held up arrive together and count once.
ANNOUNCEMENT_PAUSE_S = 0.25
MAX_DEPARTURES = 64


@attrs.frozen
class Deregistration:
    """What an upstream says when it leaves.

    Attributes:
        instance: Id of the upstream.
        incarnation: Number of its start, None if it was not sent.
    """

    instance: str
    incarnation: int | None = None


@attrs.define
class _Departure:
    """A confirmed deregistration.

    Attributes:
        at: Monotonic time in seconds of its arrival.
        last_incarnation: Highest number of a start that it covers: that of the start which left,
            or, where this is not known, the Unix time in milliseconds of its arrival.
        certain: Whether the start that left is known.
        last_sequence: Highest sequence number announced later than `LATE_ANNOUNCEMENT_S` after it.
        announced: Number of such announcements that did not come together with the one before.
        announced_at: Monotonic time in seconds of the last one that counts.
    """

    at: float
    last_incarnation: int
    certain: bool
    last_sequence: int = -1
    announced: int = 0
    announced_at: float = float("-inf")

    def covers(self, received: announcements.Announcement, now: float) -> bool:
        """Returns whether the sender of an announcement has left, as far as is known."""
        if received.incarnation > self.last_incarnation:
            return False
        if self.certain:
            return True
        sequence = received.sequence or 0
        counts_from = max(self.at + LATE_ANNOUNCEMENT_S, self.announced_at + ANNOUNCEMENT_PAUSE_S)
        if now >= counts_from and sequence > self.last_sequence:
            self.last_sequence, self.announced_at = sequence, now
            self.announced += 1
        return self.announced < ANNOUNCEMENTS_UNTIL_ALIVE


class Departures:
    """Decides which announcements count, and what a deregistration means; not thread-safe.

    Starts of upstreams are ordered by their number, announcements of one start by their sequence
    number. A confirmed deregistration ends its start for good, whatever arrives after it, also if
    this process has had no announcement of that start. It says nothing about later starts.

    A deregistration without the number of its start ends the one that announced itself last under
    its id. If there is none, or that one has replaced another start so lately that the
    deregistration may be of that one, a start that goes on announcing itself counts as alive again.
    """

    def __init__(self) -> None:
        """Starts without an upstream."""
        self._latest: announcements.Announcement | None = None
        self._replaced_at = float("-inf")
        self._departures: dict[str, _Departure] = {}

    def accept(self, received: announcements.Announcement, now: float) -> bool:
        """Returns whether an announcement counts: it is not outdated and its sender is not gone.

        Args:
            received: The announcement.
            now: Monotonic time in seconds.
        """
        departure = self._departures.get(received.instance)
        if departure is not None:
            if departure.covers(received, now):
                return False
            del self._departures[received.instance]
        if not received.replaces(self._latest):
            return False
        self._note_restart(received, now)
        self._latest = received
        return True

    def _note_restart(self, received: announcements.Announcement, now: float) -> None:
        latest = self._latest
        if latest is None or latest.instance != received.instance:
            return
        if latest.incarnation != received.incarnation:
            self._replaced_at = now

    def deregister(
        self, received: Deregistration, now: float, unix_ms: int
    ) -> announcements.Announcement | None:
        """Takes in a deregistration.

        Args:
            received: The deregistration.
            now: Monotonic time in seconds.
            unix_ms: Unix time in milliseconds.

        Returns:
            The last announcement of the upstream that leaves; None if it has left before, or if
            another one, or a later start, has announced itself since.
        """
        latest = self._latest
        if latest is None or latest.instance != received.instance:
            self._remember(received.instance, _departure_of_unknown(received, now, unix_ms))
            return None
        incarnation = received.incarnation
        if incarnation is not None and incarnation < latest.incarnation:
            return None
        certain = incarnation is not None or now - self._replaced_at > LATE_ANNOUNCEMENT_S
        last_incarnation = latest.incarnation if incarnation is None else incarnation
        if latest.last and last_incarnation == latest.incarnation:
            return None
        self._remember(received.instance, _Departure(now, last_incarnation, certain))
        self._latest = _last_announcement(latest, last_incarnation, certain)
        return self._latest

    def _remember(self, instance: str, departure: _Departure) -> None:
        self._departures.setdefault(instance, departure)
        known = self._departures[instance]
        if departure.last_incarnation > known.last_incarnation or not known.certain:
            self._departures[instance] = departure
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]


def _departure_of_unknown(received: Deregistration, now: float, unix_ms: int) -> _Departure:
    """Returns the departure of a start that has not announced itself to this process."""
    if received.incarnation is not None:
        return _Departure(now, received.incarnation, certain=True)
    return _Departure(now, unix_ms, certain=False)


def _last_announcement(
    latest: announcements.Announcement, incarnation: int, certain: bool
) -> announcements.Announcement:
    """Returns the announcement of a start that leaves; later ones count only if it is uncertain."""
    return attrs.evolve(
        latest,
        sequence=latest.sequence if certain else None,
        state=record.State.DRAINING,
        incarnation=incarnation,
        load=0.0,
        cold_s=None,
        last=certain,
    )
