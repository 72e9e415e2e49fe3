"""Trials: the runs that suspects get, one at a time over the fleet; decides on `now` only.

All nodes ask the same one, the arbiter of a fingerprint, before they run a request with it.
"""

import enum
import random
from collections.abc import Sequence

import attrs
import xxhash

from bergamotridge.nodes import record, suspects

# After a crash, requests that began elsewhere before it was known can still crash other upstreams.
PAUSE_AFTER_CRASH_S = 0.3
BUSY_RETRY_S = 0.1
# A trial may crash one more upstream. It waits for those that have crashed, but not forever.
MAX_SPARE_WAIT_S = 5.0
SPARE_RETRY_S = 0.5
MAX_LIFETIME_S = 30.0
TRIAL_ID_BITS = 63


class Ruling(enum.Enum):
    """What a node may do with a request."""

    FREE = "free"
    TRIAL = "trial"
    WAIT = "wait"
    HELD = "held"


@attrs.frozen
class Decision:
    """The decision on one request.

    Attributes:
        ruling: FREE if the request is no suspect, TRIAL if it may run once, WAIT if it may be asked
            for again soon, HELD if requests like it are held back.
        wait_s: Seconds until it makes sense to ask again, 0.0 if the request may run.
        trial_id: Id of the trial, 0 if there is none.
    """

    ruling: Ruling
    wait_s: float = 0.0
    trial_id: int = 0


@attrs.frozen
class _Trial:
    """A run that was granted.

    Attributes:
        trial_id: Id of the trial.
        expires_at: Monotonic time in seconds after which its node is no longer waited for.
        crash_ids: Crashes that are cleared if the run completes.
    """

    trial_id: int
    expires_at: float
    crash_ids: frozenset[int]


@attrs.frozen
class Capacity:
    """The upstreams of a service.

    Attributes:
        ready: Number of those that take calls.
        total: Number of all.
    """

    ready: int
    total: int

    def allows_trial(self, firm_crashes: int) -> bool:
        """Returns whether enough upstreams remain if a trial crashes one more.

        Args:
            firm_crashes: Number of crashes that are firm evidence against the request. The last
                upstream is spared from it after one, half of them after several.
        """
        if firm_crashes > 1:
            return 2 * self.ready > self.total
        return not firm_crashes or self.ready > 1 or self.total == 1


FREE = Decision(Ruling.FREE)


class TrialArbiter:
    """Grants the trials of the fingerprints whose arbiter this node is; not thread-safe."""

    def __init__(self, table: suspects.SuspectTable, started_at: float, rng: random.Random) -> None:
        """Starts without trials.

        Args:
            table: What this node knows of suspects.
            started_at: Monotonic time in seconds. A trial that an earlier process of this node
                granted may still run, so none is granted in the pause after it.
            rng: Source of the ids of trials.
        """
        self._table = table
        self._started_at = started_at
        self._rng = rng
        self._trials: dict[int, _Trial] = {}

    def request(
        self, fingerprint: int, lifetime_s: float, capacity: Capacity, now: float
    ) -> Decision:
        """Decides whether a request may run.

        Args:
            fingerprint: Fingerprint of the request.
            lifetime_s: Seconds for which it may run at most.
            capacity: Upstreams of the service.
            now: Monotonic time in seconds.
        """
        suspicion = self._table.suspicion(fingerprint, now)
        if not suspicion.crashes:
            return FREE
        if now < suspicion.held_until:
            return Decision(Ruling.HELD, suspicion.held_until - now)
        may_start_at = max(suspicion.last_crash_at, self._started_at) + PAUSE_AFTER_CRASH_S
        if now < may_start_at:
            return Decision(Ruling.WAIT, may_start_at - now)
        spares = capacity.allows_trial(suspicion.firm_crashes)
        if not spares and now < suspicion.last_crash_at + MAX_SPARE_WAIT_S:
            return Decision(Ruling.WAIT, SPARE_RETRY_S)
        running = self._trials.get(fingerprint)
        if running is not None and now < running.expires_at:
            return Decision(Ruling.WAIT, BUSY_RETRY_S)
        return self._grant(fingerprint, min(lifetime_s, MAX_LIFETIME_S), now)

    def finish(self, fingerprint: int, trial_id: int, completed: bool) -> None:
        """Ends a trial; if its run completed, the crashes before it are cleared."""
        trial = self._trials.get(fingerprint)
        if trial is None or trial.trial_id != trial_id:
            return
        del self._trials[fingerprint]
        if completed:
            self._table.clear(fingerprint, trial.crash_ids)

    def _grant(self, fingerprint: int, lifetime_s: float, now: float) -> Decision:
        self._trials = {key: trial for key, trial in self._trials.items() if now < trial.expires_at}
        evidence = self._table.evidence(fingerprint)
        trial = _Trial(
            self._rng.getrandbits(TRIAL_ID_BITS) | 1,
            now + lifetime_s,
            frozenset(crash.crash_id for crash in evidence.crashes),
        )
        self._trials[fingerprint] = trial
        return Decision(Ruling.TRIAL, trial_id=trial.trial_id)


def arbiters(
    fingerprint: int, members: Sequence[record.UpstreamRecord]
) -> list[record.UpstreamRecord]:
    """Returns the hosts of a service in the order in which they are asked for a trial.

    All nodes with the same members return the same order, and a host that joins or leaves changes
    the first one only for the fingerprints that it takes or had.
    """
    return sorted(
        members, key=lambda item: xxhash.xxh3_64_intdigest(item.host.encode(), seed=fingerprint)
    )
