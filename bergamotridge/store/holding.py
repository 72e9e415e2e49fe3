"""Decisions of one host about its share of one team's quota, over the present time."""

import attrs

from bergamotridge.store import quota

CLOCK_DRIFT = 0.01
LARGEST_CUT = 0.25
LEAST_CUT = 0.3  # Of the mean share; smaller cuts are not worth a write.
LEAST_RAISE = 0.05  # Of the mean share.
DEMAND_CHANGE = 0.25


@attrs.frozen
class Timings:
    """Time limits of quota holders; equal on all hosts of a fleet.

    Attributes:
        lease_s: Time for which a holder may use its share after its last confirmed write.
        renew_s: Time between two renewals of a share that does not change.
        adjust_s: Mean time between two looks at the quota object.
        token_lifetime_s: Time for which a drawn token can be spent.
        join_after_s: Time for which a host must be chosen before it becomes a holder.
    """

    lease_s: float = 1800.0
    renew_s: float = 300.0
    adjust_s: float = 5.0
    token_lifetime_s: float = 5.0
    join_after_s: float = 3.0

    @property
    def lapse_s(self) -> float:
        """Time without a renewal after which a share and all tokens drawn from it are dead."""
        return (self.lease_s + self.token_lifetime_s) * (1.0 + CLOCK_DRIFT)

    @property
    def loan_s(self) -> float:
        """Time after which a holder counts a lent token as spent."""
        return self.token_lifetime_s * (1.0 + CLOCK_DRIFT)


@attrs.frozen
class Circumstances:
    """What a decision about a share depends on besides the quota object.

    Attributes:
        chosen: Whether this host is to be a holder.
        holders: Number of holders that the fleet should have.
        burst: Burst of the team in the configuration in force.
        lent: Tokens that other nodes hold and may still spend.
        demand: Calls per second that ask for tokens within reach of this host.
    """

    chosen: bool
    holders: int
    burst: float
    lent: int
    demand: float


@attrs.frozen
class Write:
    """A conditional update of the quota object.

    Attributes:
        quota: The new value.
        version: The version that it replaces.
        share: This host's share in it, or None if it leaves.
        sent_at: Monotonic time of the decision in seconds; the lease runs from here.
    """

    quota: quota.Quota
    version: int
    share: quota.Share | None
    sent_at: float

    @property
    def parts(self) -> int:
        """Parts of this host in the new value."""
        return self.share.parts if self.share else 0


class Holding:
    """One host's view of one team's quota object and the share that it may use."""

    def __init__(
        self, host: str, incarnation: int, failure_domain: str, timings: Timings, now: float
    ) -> None:
        """Starts without a share.

        Args:
            host: Name of this host, whose control port this process has bound.
            incarnation: Start time of this process in milliseconds.
            failure_domain: Failure domain of this host.
            timings: Time limits.
            now: Monotonic time in seconds.
        """
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._timings = timings
        self._settled_from = now + timings.loan_s
        self._joined_fresh = False
        self._version = -1
        self._quota = quota.Quota()
        self._own: quota.Share | None = None
        self._lease_end = float("-inf")
        self._renewed_at = float("-inf")
        self._renewals = 0
        self._sent: dict[int, float] = {}
        self._in_doubt: Write | None = None
        self._doubted_parts = quota.PARTS
        self._cut = quota.PARTS
        self._first_seen: dict[tuple[str, int, int], float] = {}

    @property
    def settled_from(self) -> float:
        """Monotonic time by which all tokens drawn from an earlier process here have expired.

        There are none if this process joined a quota in which that process had no share.
        """
        return float("-inf") if self._joined_fresh else self._settled_from

    @property
    def share(self) -> quota.Share | None:
        """This host's share as last confirmed or read."""
        return self._own

    def usable(self, now: float) -> int:
        """Returns the parts that may be used now; 0 once the lease has ended."""
        if self._own is None or now >= self._lease_end:
            return 0
        return min(self._own.parts, self._doubted_parts, self._cut)

    def observe(self, value: quota.Quota, version: int, now: float) -> None:
        """Takes in what a read returned; anything older than what is known is ignored."""
        if version <= self._version:
            return
        self._version = version
        self._quota = value
        found = value.find(self._host)
        self._own = found if found and found.incarnation == self._incarnation else None
        self._resolve_doubt()
        self._note_sightings(now)

    def decide(self, circumstances: Circumstances, now: float) -> Write | None:
        """Returns the update to send next, or None.

        From here on `usable` is no higher than the share that the update gives this host, so the
        caller applies it before it sends the update. An update that lowers the share below what
        is lent out waits until the loans have ended.
        """
        self._cut = quota.PARTS
        live = self._quota.without(self._lapsed(now))
        mine = live.find(self._host)
        if mine is None and not circumstances.chosen:
            return self._removal_of_lapsed(live, now)
        parts = self._next_parts(live, mine, circumstances)
        if self._own is None and mine is not None and now < self.settled_from:
            # Tokens drawn from the predecessor still count against all of its share.
            parts = max(parts, mine.parts)
        if self._own is not None and parts < self._own.parts:
            self._cut = parts
            lent_out = circumstances.lent > quota.lendable(
                parts * circumstances.burst / quota.PARTS
            )
            if lent_out or now < self.settled_from:
                return None
        if not circumstances.chosen and parts == 0:
            return self._write(live.without([self._host]), None, now)
        if not self._due(live, parts, circumstances.demand, now):
            return None
        self._renewals += 1
        share = quota.Share(
            self._host,
            self._incarnation,
            self._failure_domain,
            parts,
            self._renewals,
            round(circumstances.demand, 1),
        )
        return self._write(live.replace(share), share, now)

    def confirm(self, write: Write, version: int, now: float) -> None:
        """Takes note that an update took effect."""
        if self._quota.find(self._host) is None and write.share is not None:
            self._joined_fresh = True
        self.observe(write.quota, version, now)
        self._cut = quota.PARTS

    def doubt(self, write: Write) -> None:
        """Takes note that the outcome of an update is unknown; the lower share stays in force."""
        self._in_doubt = write
        self._doubted_parts = min(self._doubted_parts, write.parts)

    def _write(self, value: quota.Quota, share: quota.Share | None, now: float) -> Write:
        if share is not None:
            self._sent[share.renewals] = now
        return Write(value, max(self._version, 0), share, now)

    def _resolve_doubt(self) -> None:
        # A version above the one that a doubtful update named shows whether it took effect.
        if self._in_doubt is not None and self._version > self._in_doubt.version:
            self._in_doubt = None
            self._doubted_parts = quota.PARTS
        if self._own is None:
            return
        sent_at = self._sent.get(self._own.renewals)
        if sent_at is not None:
            self._renewed_at = sent_at
            self._lease_end = sent_at + self._timings.lease_s * (1.0 - CLOCK_DRIFT)
            self._sent = {
                renewals: sent
                for renewals, sent in self._sent.items()
                if renewals >= self._own.renewals
            }

    def _note_sightings(self, now: float) -> None:
        self._first_seen = {
            key: self._first_seen.get(key, now)
            for key in ((s.host, s.incarnation, s.renewals) for s in self._quota.shares)
        }

    def _lapsed(self, now: float) -> list[str]:
        limit = now - self._timings.lapse_s
        return [
            host
            for (host, _, _), first_seen in self._first_seen.items()
            if host != self._host and first_seen <= limit
        ]

    def _removal_of_lapsed(self, live: quota.Quota, now: float) -> Write | None:
        if len(live.shares) == len(self._quota.shares):
            return None
        return self._write(live, None, now)

    def _next_parts(
        self, live: quota.Quota, mine: quota.Share | None, circumstances: Circumstances
    ) -> int:
        if not circumstances.chosen:
            return 0
        held = mine.parts if mine else 0
        room = _room(live, mine, circumstances.holders)
        wish = quota.Share(
            self._host, self._incarnation, self._failure_domain, held, 0, circumstances.demand
        )
        target = quota.targets(live.replace(wish), circumstances.burst)[self._host]
        if target >= held:
            return min(target, held + room)
        if held - target < LEAST_CUT * quota.PARTS / (len(live.shares) or 1):
            return held
        if any(share.parts == 0 for share in live.shares):
            return target
        return max(target, int(held * (1.0 - LARGEST_CUT)))

    def _due(self, live: quota.Quota, parts: int, demand: float, now: float) -> bool:
        own = self._own
        if own is None or now - self._renewed_at >= self._timings.renew_s:
            return True
        if len(live.shares) != len(self._quota.shares) or self._in_doubt is not None:
            return True
        change = abs(parts - own.parts)
        if parts < own.parts or change > LEAST_RAISE * quota.PARTS / len(live.shares):
            return True
        return abs(demand - own.demand) > max(1.0, DEMAND_CHANGE * own.demand)


def _room(live: quota.Quota, mine: quota.Share | None, holders: int) -> int:
    """Returns the parts by which a host may raise its share.

    What is free is kept for holders that have yet to join: taken and cut back later, it would be
    lost with the one host that took it if that fails in an outage of the platform.
    """
    equal = quota.PARTS // max(1, holders)
    if mine is None:
        return min(live.free, equal)
    return max(0, live.free - equal * max(0, holders - len(live.shares)))
