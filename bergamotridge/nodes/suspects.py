"""Suspects: requests under which upstreams have crashed, by fingerprint; decides on `now` only.

Every request that ran at an upstream when it crashed is a suspect, though most are innocent. A
suspect is cleared by a run that completes after the crash. One under which `CRASHES_TO_HOLD`
upstreams have crashed without such a run is held back for a time that doubles with each further
crash.

A popular request runs at most upstreams all the time. When several crash together, as with their
failure domain, it ran at each of them. So a crash is doubtful evidence against requests that have
completed at the upstream shortly before, unless they ran with no other suspect. Doubtful evidence
alone holds no request back, and one against which there is any is held back for a shorter time.
"""

from collections.abc import Iterable, Sequence

import attrs

CRASHES_TO_HOLD = 3
STRONG_FIRM_CRASHES = 2  # From then on, calls that already run are cancelled.
FIRST_HOLD_S = 30.0
FIRST_HOLD_IN_DOUBT_S = 3.0
MAX_HOLD_S = 600.0
# Longer than the longest hold: a suspect that is tried again must still be one.
FORGET_S = 1800.0
MAX_SUSPECTS = 4096
MAX_CRASHES_PER_SUSPECT = 8
MAX_DOUBTFUL_CRASHES_COUNTED = CRASHES_TO_HOLD - 1


@attrs.frozen
class Crash:
    """The crash of one upstream process with calls under it.

    Attributes:
        crash_id: The same on all nodes, another for each crash.
        crashed_at: Monotonic time in seconds.
        doubtful: True if requests like the one that ran had completed there shortly before, and it
            did not run with no other suspect.
    """

    crash_id: int
    crashed_at: float
    doubtful: bool = False


@attrs.frozen
class Evidence:
    """Crashes that happened while requests with one fingerprint ran.

    Attributes:
        fingerprint: Fingerprint of the requests.
        crashes: The crashes that no completed run has cleared.
        cleared: Those that one has cleared.
    """

    fingerprint: int
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[Crash, ...] = ()

    @property
    def last_crash_at(self) -> float:
        """Time of the last crash, cleared or not."""
        return max(crash.crashed_at for crash in (*self.crashes, *self.cleared))


@attrs.frozen
class Suspicion:
    """How far requests with one fingerprint are suspected.

    Attributes:
        crashes: Number of upstreams that have crashed under them since a run completed; doubtful
            evidence counts for less than `CRASHES_TO_HOLD`.
        firm_crashes: Those of them that are not doubtful.
        last_crash_at: Monotonic time of the last of these crashes in seconds.
        held_until: Monotonic time in seconds until which such requests are held back, -inf if they
            are not.
    """

    crashes: int = 0
    firm_crashes: int = 0
    last_crash_at: float = float("-inf")
    held_until: float = float("-inf")

    def is_strong(self, now: float) -> bool:
        """Returns whether the next run would probably crash another upstream."""
        return now < self.held_until or self.firm_crashes >= STRONG_FIRM_CRASHES


NOT_SUSPECTED = Suspicion()


def _hold_s(crashes: int, in_doubt: bool) -> float:
    """Returns for how many seconds after the last crash a request is held back."""
    if crashes < CRASHES_TO_HOLD:
        return 0.0
    first_s = FIRST_HOLD_IN_DOUBT_S if in_doubt else FIRST_HOLD_S
    return min(MAX_HOLD_S, first_s * 2 ** (crashes - CRASHES_TO_HOLD))


def _latest(crashes: Iterable[Crash]) -> tuple[Crash, ...]:
    """Returns the latest crashes, no more than `MAX_CRASHES_PER_SUSPECT`."""
    ordered = sorted(crashes, key=lambda crash: (crash.crashed_at, crash.crash_id))
    return tuple(ordered[-MAX_CRASHES_PER_SUSPECT:])


class SuspectTable:
    """What one node knows of suspects; not thread-safe.

    The table holds `capacity` suspects at most. Beyond it, those under which the fewest upstreams
    have crashed are forgotten first, and of these the ones whose last crash is the oldest. So many
    requests that each crash one upstream don't displace one that has crashed several.
    """

    def __init__(self, capacity: int = MAX_SUSPECTS) -> None:
        self._capacity = capacity
        self._evidence: dict[int, Evidence] = {}

    def __len__(self) -> int:
        return len(self._evidence)

    def suspicion(self, fingerprint: int, now: float) -> Suspicion:
        """Returns how far a fingerprint is suspected at monotonic time `now` (seconds)."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.crashes:
            return NOT_SUSPECTED
        if now - evidence.last_crash_at > FORGET_S:
            return NOT_SUSPECTED
        doubtful = sum(crash.doubtful for crash in evidence.crashes)
        firm = len(evidence.crashes) - doubtful
        crashes = firm + min(doubtful, MAX_DOUBTFUL_CRASHES_COUNTED)
        last_crash_at, hold_s = evidence.crashes[-1].crashed_at, _hold_s(crashes, doubtful > 0)
        held_until = last_crash_at + hold_s if hold_s else float("-inf")
        return Suspicion(crashes, firm, last_crash_at, held_until)

    def clear(self, fingerprint: int, crash_ids: Iterable[int]) -> None:
        """Clears crashes of a fingerprint, as a run that began after them has completed."""
        known = self._evidence.get(fingerprint)
        if known is not None:
            ids = frozenset(crash_ids)
            cleared = tuple(crash for crash in known.crashes if crash.crash_id in ids)
            self._evidence[fingerprint] = _union(known, Evidence(fingerprint, cleared=cleared))

    def merge(self, received: Iterable[Evidence], now: float) -> None:
        """Adds evidence, which other nodes may have sent more than once and in any order."""
        for item in received:
            if item.crashes or item.cleared:
                self._evidence[item.fingerprint] = _union(self.evidence(item.fingerprint), item)
        if len(self._evidence) > self._capacity:
            self._evict(now)

    def evidence(self, fingerprint: int) -> Evidence:
        """Returns what is known of one fingerprint."""
        return self._evidence.get(fingerprint) or Evidence(fingerprint)

    def strongest(self, limit: int) -> Sequence[Evidence]:
        """Returns the evidence that is forgotten last, no more than `limit` items."""
        return sorted(self._evidence.values(), key=_retention, reverse=True)[:limit]

    def held(self, now: float) -> int:
        """Returns the number of fingerprints that are held back at monotonic time `now`."""
        return sum(now < self.suspicion(item, now).held_until for item in self._evidence)

    def forget_expired(self, now: float) -> None:
        """Forgets suspects whose last crash is more than `FORGET_S` ago."""
        self._evidence = {
            fingerprint: evidence
            for fingerprint, evidence in self._evidence.items()
            if now - evidence.last_crash_at <= FORGET_S
        }

    def _evict(self, now: float) -> None:
        self.forget_expired(now)
        self._evidence = {item.fingerprint: item for item in self.strongest(self._capacity)}


def _union(known: Evidence, received: Evidence) -> Evidence:
    """Returns the evidence that both know; a crash that one of them has cleared is cleared."""
    cleared = {crash.crash_id: crash for crash in (*received.cleared, *known.cleared)}
    crashes = {
        crash.crash_id: crash
        for crash in (*received.crashes, *known.crashes)
        if crash.crash_id not in cleared
    }
    return Evidence(known.fingerprint, _latest(crashes.values()), _latest(cleared.values()))


def _retention(evidence: Evidence) -> tuple[int, float]:
    """Returns a key by which evidence is kept; the lowest is forgotten first."""
    return len(evidence.crashes), evidence.last_crash_at
