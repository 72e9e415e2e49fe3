"""Decides how one host changes its share of one team's quota; the caller passes the time."""

import attrs

from bergamotridge.store import position, quota, share_size

# Largest relative error of a host's clock rate that time limits allow for.
CLOCK_DRIFT_FRACTION = 0.01


@attrs.frozen
class Timings:
    """Time limits of quota holders in seconds; they must be equal on all hosts of a fleet.

    Attributes:
        lease_s: Time for which a holder may use its share, counted from when it sent its last
            confirmed write.
        renew_s: Time between two renewals of an unchanged share.
        adjust_s: Mean time between two reads of the quota object.
        token_lifetime_s: Time for which a token that another node has drawn ahead can be spent.
        max_immediate_lifetime_s: The longest such time for a token drawn for a waiting call; the
            drawing node names a shorter one.
        join_after_s: Time for which a host must have been chosen as a holder before it takes a
            share.
    """

    lease_s: float = 1800.0
    renew_s: float = 300.0
    adjust_s: float = 5.0
    token_lifetime_s: float = 5.0
    max_immediate_lifetime_s: float = 0.25
    join_after_s: float = 3.0

    @property
    def expiry_s(self) -> float:
        """Time without a renewal after which a share and all tokens drawn from it have expired."""
        return (self.lease_s + self.token_lifetime_s) * (1.0 + CLOCK_DRIFT_FRACTION)

    @property
    def loan_s(self) -> float:
        """Time after which a holder counts an unsettled lent token as spent."""
        return self.token_lifetime_s * (1.0 + CLOCK_DRIFT_FRACTION)

    @property
    def max_immediate_loan_s(self) -> float:
        """Longest time after which a token that was lent for a waiting call counts as spent."""
        return self.max_immediate_lifetime_s * (1.0 + CLOCK_DRIFT_FRACTION)


@attrs.frozen
class QuotaUpdate:
    """A conditional update of the quota object.

    Attributes:
        quota: The new value of the object.
        version: Version of the object that the update replaces.
        share: This host's share in the new value, or None if it has none.
        sent_at: Monotonic time of the decision in seconds; the lease runs from here.
    """

    quota: quota.Quota
    version: position.Position
    share: quota.Share | None
    sent_at: float

    @property
    def parts(self) -> int:
        """Parts of this host's share in the new value."""
        return self.share.parts if self.share else 0


class Holding:
    """One host's copy of one team's quota object and the share that the host may use.

    The caller reads and writes the object; all times are monotonic times in seconds.
    """

    def __init__(
        self, host: str, incarnation: int, failure_domain: str, timings: Timings, now: float
    ) -> None:
        """Creates a holding without a share.

        Args:
            host: Name of this host, whose control port this process has bound.
            incarnation: Start time of this process in milliseconds.
            failure_domain: Failure domain of this host.
            timings: Time limits of the fleet's quota holders.
            now: Current monotonic time in seconds.
        """
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._timings = timings
        self._predecessor_loans_end = now + timings.loan_s
        self._joined_without_predecessor = False
        self._version = position.UNREAD
        self._quota = quota.Quota()
        self._own: quota.Share | None = None
        self._lease_end = float("-inf")
        self._renewed_at = float("-inf")
        self._renewals = 0
        self._sent_at_by_renewals: dict[int, float] = {}
        self._unresolved_write: QuotaUpdate | None = None
        self._is_unwritten = False
        # The restoration in whose reserved parts this process's share was not, when last read.
        self._written_since: tuple[int, int] | None = None
        # Upper bounds of `usable`: until the outcome of a write is known, and while the share is
        # being lowered.
        self._unresolved_parts = quota.PARTS
        self._max_parts_while_lowering = quota.PARTS
        # Time of the first read of each share, by its host, incarnation and renewals.
        self._first_seen: dict[tuple[str, int, int], float] = {}

    @property
    def predecessor_loans_end(self) -> float:
        """Time by which all tokens drawn from an earlier process on this host have expired.

        Minus infinity if this process joined a quota in which no earlier process of this host had a
        share, because then there are no such tokens.
        """
        return float("-inf") if self._joined_without_predecessor else self._predecessor_loans_end

    @property
    def share(self) -> quota.Share | None:
        """This process's share as last confirmed or read, or None if it has none."""
        return self._own

    def usable(self, now: float) -> int:
        """Returns the parts that may be used at `now`; 0 once the lease has ended."""
        if self._own is None or now >= self._lease_end:
            return 0
        return min(self._own.parts, self._unresolved_parts, self._max_parts_while_lowering)

    @property
    def is_unwritten(self) -> bool:
        """True if this process's share was lost in a restoration and has to be written again."""
        return self._is_unwritten

    def observe(self, value: quota.Quota, version: position.Position, now: float) -> None:
        """Stores the value of the quota object from a read; ignores a version that is not newer.

        If the object lacks this process's share, and has the reserved parts of a restoration since
        which it was never read with that share, the restoration lost the share. It stays usable and
        is taken out of the reserved parts.
        """
        if version <= self._version:
            return
        self._version = version
        share = value.find(self._host)
        own = share if share and share.incarnation == self._incarnation else None
        restoration = value.restoration
        if own is not None:
            self._written_since = restoration
        lost_share = self._own if own is None and now < self._lease_end else None
        self._is_unwritten = lost_share is not None and restoration not in (
            None,
            self._written_since,
        )
        if self._is_unwritten:
            parts = min(lost_share.parts, self._unresolved_parts)
            value = value.take_out(attrs.evolve(lost_share, parts=parts))
            own = value.find(self._host)
        self._quota = value
        self._own = own
        self._update_lease_and_unresolved_write()
        self._record_first_seen(now)

    def decide(self, decision_inputs: share_size.DecisionInputs, now: float) -> QuotaUpdate | None:
        """Returns the update to send next, or None if there is none.

        As soon as this returns, `usable` is no higher than the share that the update gives this
        host, so the caller must apply `usable` before it sends the update. An update that would
        lower the share below the tokens lent out is not returned until those loans have ended.
        """
        self._max_parts_while_lowering = quota.PARTS
        live_quota = self._quota.without(self._expired_hosts(now))
        host_share = live_quota.find(self._host)
        if self._is_unwritten and self._own is not None:
            return self._renew(live_quota, self._own.parts, decision_inputs, now)
        if host_share is None and not decision_inputs.chosen:
            return self._removal_of_expired_shares(live_quota, now)
        candidate = self._make_candidate(host_share, decision_inputs.demand)
        parts = share_size.next_parts(live_quota, candidate, host_share, decision_inputs)
        if self._own is None and host_share is not None and now < self.predecessor_loans_end:
            # Tokens drawn from the predecessor may still be spent, up to its whole share.
            parts = max(parts, host_share.parts)
        if self._own is not None and parts < self._own.parts:
            self._max_parts_while_lowering = parts
            if share_size.loans_exceed(parts, decision_inputs) or now < self.predecessor_loans_end:
                return None
        if not decision_inputs.chosen and parts == 0:
            return self._write(live_quota.without([self._host]), None, now)
        if not self._write_is_due(live_quota, parts, decision_inputs, now):
            return None
        return self._renew(live_quota, parts, decision_inputs, now)

    def confirm(self, write: QuotaUpdate, version: position.Position, now: float) -> None:
        """Records that an update took effect and wrote `version`."""
        if self._quota.find(self._host) is None and write.share is not None:
            self._joined_without_predecessor = True
        self.observe(write.quota, version, now)
        self._max_parts_while_lowering = quota.PARTS

    def record_unknown_outcome(self, write: QuotaUpdate) -> None:
        """Records that the outcome of an update is unknown.

        Until it is known, `usable` is the lower of the shares before and after the update.
        """
        self._unresolved_write = write
        self._unresolved_parts = min(self._unresolved_parts, write.parts)

    def _renew(
        self,
        live_quota: quota.Quota,
        parts: int,
        decision_inputs: share_size.DecisionInputs,
        now: float,
    ) -> QuotaUpdate:
        """Returns an update that writes a share of this process."""
        self._renewals += 1
        share = quota.Share(
            self._host,
            self._incarnation,
            self._failure_domain,
            parts,
            self._renewals,
            round(decision_inputs.demand, 1),
        )
        return self._write(live_quota.replace(share), share, now)

    def _write(self, value: quota.Quota, share: quota.Share | None, now: float) -> QuotaUpdate:
        if share is not None:
            self._sent_at_by_renewals[share.renewals] = now
        return QuotaUpdate(value, max(self._version, position.START), share, now)

    def _update_lease_and_unresolved_write(self) -> None:
        # An object with a version above the one that the unresolved update was conditional on shows
        # whether that update took effect.
        if self._unresolved_write is not None and self._version > self._unresolved_write.version:
            self._unresolved_write = None
            self._unresolved_parts = quota.PARTS
        if self._own is None:
            return
        sent_at = self._sent_at_by_renewals.get(self._own.renewals)
        if sent_at is not None:
            self._renewed_at = sent_at
            self._lease_end = sent_at + self._timings.lease_s * (1.0 - CLOCK_DRIFT_FRACTION)
            self._sent_at_by_renewals = {
                renewals: sent
                for renewals, sent in self._sent_at_by_renewals.items()
                if renewals >= self._own.renewals
            }

    def _record_first_seen(self, now: float) -> None:
        self._first_seen = {
            key: self._first_seen.get(key, now)
            for key in ((s.host, s.incarnation, s.renewals) for s in self._quota.all_shares)
        }

    def _expired_hosts(self, now: float) -> list[str]:
        cutoff = now - self._timings.expiry_s
        return [
            host
            for (host, _, _), first_seen in self._first_seen.items()
            if host != self._host and first_seen <= cutoff
        ]

    def _removal_of_expired_shares(self, live_quota: quota.Quota, now: float) -> QuotaUpdate | None:
        if live_quota == self._quota:
            return None
        return self._write(live_quota, None, now)

    def _make_candidate(self, host_share: quota.Share | None, demand: float) -> quota.Share:
        """Returns this host's share with its present parts and demand, as others would see it."""
        parts = host_share.parts if host_share else 0
        return quota.Share(self._host, self._incarnation, self._failure_domain, parts, 0, demand)

    def _write_is_due(
        self,
        live_quota: quota.Quota,
        parts: int,
        decision_inputs: share_size.DecisionInputs,
        now: float,
    ) -> bool:
        own = self._own
        if own is None or now - self._renewed_at >= self._timings.renew_s:
            return True
        if live_quota != self._quota or self._unresolved_write is not None:
            return True
        parts_change = abs(parts - own.parts)
        if parts < own.parts or parts_change > share_size.MIN_RAISE_FRACTION * quota.PARTS / len(
            live_quota.shares
        ):
            return True
        return share_size.demand_is_due(own, decision_inputs.demand, decision_inputs.rate)
