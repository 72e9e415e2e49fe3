"""Computes the share of the calls of each class and team that a gate admits.

A class consists of all calls of the same importance.
"""

import math
from collections.abc import Mapping

from bergamotridge import call
from bergamotridge.nodes import load
from bergamotridge.upstreams import call_kinds, demand_estimate, rejections

MAX_SHARE_GROWTH_FACTOR = 2.0  # Of a share, in one update.
# Lowest value to which a rising share is set, as no factor lets a share of 0 grow. It is also the
# lowest share of unattributed calls.
RECOVERY_START_FRACTION = 0.02
HOLD_SMOOTHING_FACTOR = 0.05  # Weight of the latest call.
TARGET_QUEUE_FRACTION = 0.1  # Of the limit.
CORRECTION_S = 0.5
MAX_LISTED_SHARES = 32
MAX_STEP_S = 0.2  # Longest time that one adjustment of the unattributed share accounts for.
UNATTRIBUTED_GAIN = 1.0  # Change of the share per second if as many slots as the limit are free.
# Fraction of rejected calls above which the share falls. Where half of the calls are rejected, a
# part of the trees with four calls still completes by retries and costs the upstream nothing.
TOLERATED_REJECTIONS = 0.6
# Change of the share per second by what is above, in place of a rise by the slots that are free
# because of the rejections.
REJECTION_GAIN = 15.0
# With `scarce`, the gain is multiplied by the share, but by no less than this factor, as the same
# step changes the load more at a low share. While the upstream is mostly idle the gain is full. At
# twice the capacity of 60 slots, with shares that took effect after 0.4 s, 0.74 of the slots were
# used with the full gain and 0.89 with this one.
MIN_GAIN_FACTOR = 0.2
# Rejected fraction from which callers are told of it, in steps, so that few thresholds differ.
MIN_SHOWN_REJECTIONS = 0.15
SHOWN_DECIMALS = 1
IDLE_RATIO = 0.3  # Of the limit; with more free slots the upstream is mostly idle.


def _smooth_hold(smoothed_s: float, hold_s: float) -> float:
    """Returns the smoothed hold time with that of one more call; the first one sets it."""
    smoothed_s = smoothed_s or hold_s
    return smoothed_s + HOLD_SMOOTHING_FACTOR * (hold_s - smoothed_s)


class ThresholdController:
    """Computes the threshold of one gate from its arrivals and its capacity.

    Demand is the arrival rate divided by the admitted share, both smoothed with the same factor.
    Capacity, in calls per second, is the limit divided by the time for which a call holds its slot.
    For each class, the capacity is corrected so that within `CORRECTION_S` free slots are filled
    and the calls that wait in this class and in more important ones are worked off. Capacity is
    given to the classes in order of importance; in the class for which it does not suffice, teams
    share the rest by max-min fairness.

    Unattributed calls belong to running requests, but to which ones is not known. They cannot be
    shed by class here; instead, the nodes that admit their requests shed whole requests. Their
    admitted share rises with free slots and falls with waiting calls. When capacity is divided,
    they count as one more team of the least important class.

    With `scarce`, direct and unattributed calls divide the slots by max-min fairness first, by
    demand and `call_kinds.WEIGHTS`; classes and teams divide the part of the direct calls. Calls
    of one kind that wait do not lower the share of the other. The share of unattributed calls
    also falls while the upstream rejects most calls, whatever its load, as a request of several
    calls rarely completes then.

    Args:
        scarce: True to divide the slots between the kinds of calls.
    """

    def __init__(self, *, scarce: bool = False) -> None:
        self._scarce = scarce
        self._kind_hold_s: dict[call_kinds.Kind, float] = {}
        self._rejections = rejections.RejectionMeter()
        self._flows: dict[load.Key, demand_estimate.Flow] = {}
        self._updated_at = -math.inf
        self._hold_s = 0.0
        self._threshold = load.ADMIT_ALL
        self._any_waited = False
        self._unattributed_share = 1.0

    @property
    def threshold(self) -> load.Threshold:
        """The threshold of the latest update."""
        return self._threshold

    @property
    def hold_s(self) -> float:
        """Smoothed time in seconds for which a call holds its slot, 0 before the first call."""
        return self._hold_s

    @property
    def divides_kinds(self) -> bool:
        """True if the slots are divided between direct and unattributed calls."""
        return self._scarce and load.UNATTRIBUTED in self._flows

    @property
    def rejected_fraction(self) -> float:
        """Smoothed fraction of calls that the upstream rejected, 0.0 if that isn't measured."""
        return self._rejections.fraction

    @property
    def unattributed_share(self) -> float:
        """Admitted share of unattributed calls."""
        return self._unattributed_share

    def hold_s_of(self, context: call.CallContext) -> float:
        """Returns the smoothed hold time of calls like this one; see `hold_s`."""
        if not self._scarce:
            return self._hold_s
        return self._hold_s_of_kind(call_kinds.kind_of(context))

    def relative_cost(self, context: call.CallContext) -> float:
        """Returns the hold time of calls like this one, as a multiple of that of all calls."""
        return self.hold_s_of(context) / self._hold_s if self._scarce and self._hold_s else 1.0

    def record_arrival(self, context: call.CallContext) -> None:
        """Counts a call that reached the gate, admitted or not."""
        key = (context.importance, context.team)
        if context.unattributed:
            key = load.UNATTRIBUTED
        flow = self._flows.get(key)
        if flow is None:
            share = 1.0 if context.unattributed else self._threshold.defaults[context.importance]
            flow = self._flows[key] = demand_estimate.Flow(share=share)
        flow.weight = context.weight
        flow.arrivals += 1

    def record_wait(self) -> None:
        """Records that a call found no free slot."""
        self._any_waited = True

    def record_hold_time(
        self, hold_s: float, kind: call_kinds.Kind = call_kinds.Kind.DIRECT
    ) -> None:
        """Adds the seconds for which a finished call held its slot to the smoothed hold time."""
        self._hold_s = _smooth_hold(self._hold_s, hold_s)
        if self._scarce:
            self._kind_hold_s[kind] = _smooth_hold(self._kind_hold_s.get(kind, 0.0), hold_s)

    def record_end(self, *, was_rejected: bool) -> None:
        """Counts a call that the upstream ended, or rejected without running it."""
        if self._scarce:
            self._rejections.record_end(was_rejected=was_rejected)

    def is_update_due(self, now: float) -> bool:
        """Returns whether `update` would compute a new threshold at time `now`."""
        return now - self._updated_at >= demand_estimate.UPDATE_INTERVAL_S

    def update(
        self,
        limit: int,
        in_flight: int,
        waiting: Mapping[call.Importance, int],
        now: float,
        unattributed_waiting: int = 0,
        unattributed_in_flight: int = 0,
    ) -> bool:
        """Computes a new threshold if UPDATE_INTERVAL_S has passed; returns whether it has.

        Args:
            limit: Number of calls that may run concurrently.
            in_flight: Number of running calls.
            waiting: Number of waiting calls by class, with `scarce` of direct ones.
            now: Monotonic time in seconds.
            unattributed_waiting: Number of waiting unattributed calls, used with `scarce`.
            unattributed_in_flight: Number of running ones, used with `scarce`.
        """
        if self._updated_at == -math.inf:
            self._updated_at = now
        elapsed_s = now - self._updated_at
        if elapsed_s < demand_estimate.UPDATE_INTERVAL_S:
            return False
        self._updated_at = now
        for flow in self._flows.values():
            flow.close_interval(elapsed_s)
        # A stall of the machine lowers the capacity estimate, too. Calls are therefore shed only if
        # some have waited since the last update, or if shedding has already begun.
        is_contended, self._any_waited = self._any_waited or not self._threshold.admits_all, False
        free_slots, target_queue = limit - in_flight, TARGET_QUEUE_FRACTION * limit
        if self._scarce:
            self._rejections.close_interval(elapsed_s)
            direct_slots = self._direct_slots(limit)
            if self._hold_s and is_contended:
                hold_s = self._hold_s_of_kind(call_kinds.Kind.DIRECT)
                target = target_queue * direct_slots / limit
                self._assign_shares(direct_slots / hold_s, free_slots, waiting, target)
            # Direct calls may use slots of the part that unattributed calls are guaranteed. Such
            # slots count as free, as unattributed calls get them as soon as they arrive.
            guaranteed = call_kinds.guaranteed_fraction(call_kinds.Kind.UNATTRIBUTED) * limit
            unused_slots = max(free_slots, guaranteed - unattributed_in_flight)
            spare_slots = unused_slots + target_queue - unattributed_waiting
            self._adjust_unattributed_share(spare_slots / limit, elapsed_s)
        elif self._hold_s and is_contended:
            self._assign_shares(limit / self._hold_s, free_slots, waiting, target_queue)
            spare_slots = free_slots + target_queue - sum(waiting.values())
            self._adjust_unattributed_share(spare_slots / limit, elapsed_s)
        self._threshold = self._build_threshold()
        return True

    def _hold_s_of_kind(self, kind: call_kinds.Kind) -> float:
        return self._kind_hold_s.get(kind) or self._hold_s

    def _direct_slots(self, limit: int) -> float:
        """Returns how many slots direct calls get if they demand that many.

        That is their guaranteed part, or what unattributed calls leave, if that is more.
        """
        flow = self._flows.get(load.UNATTRIBUTED)
        if flow is None:
            return limit
        used = flow.fast.demand * self._hold_s_of_kind(call_kinds.Kind.UNATTRIBUTED)
        return max(call_kinds.guaranteed_fraction(call_kinds.Kind.DIRECT) * limit, limit - used)

    def _assign_shares(
        self,
        capacity: float,
        free_slots: int,
        waiting: Mapping[call.Importance, int],
        target_queue: float,
    ) -> None:
        """Sets the admitted share of each class and team, except that of unattributed calls.

        Args:
            capacity: Calls per second that the upstream can run.
            free_slots: Limit minus running calls.
            waiting: Number of waiting calls by class.
            target_queue: Number of waiting calls to aim at.
        """
        used_capacity, waiting_so_far = 0.0, 0
        for importance in call.Importance:
            waiting_so_far += waiting.get(importance, 0)
            flows = [
                flow
                for key, flow in self._flows.items()
                if key[0] is importance and not (self._scarce and key == load.UNATTRIBUTED)
            ]
            if not flows:
                continue
            headroom = free_slots + target_queue - waiting_so_far
            available = max(0.0, capacity + headroom / CORRECTION_S - used_capacity)
            demands = demand_estimate.estimate_demands(flows)
            pairs = [(demand, flow.weight) for demand, flow in zip(demands, flows, strict=True)]
            level = demand_estimate.fair_level(pairs, available)
            # At a low limit with slow calls there are too few arrivals for a reliable estimate, so
            # critical calls are shed only while some of them wait. An upstream that rejects calls
            # has a low limit, too, and that is left to the share of unattributed calls.
            is_protected = importance is call.Importance.CRITICAL or self.divides_kinds
            admit_all = is_protected and not waiting.get(importance)
            for demand, flow in zip(demands, flows, strict=True):
                if flow is self._flows.get(load.UNATTRIBUTED):
                    continue
                target_share = min(1.0, flow.weight * level / demand) if demand else 1.0
                target_share = 1.0 if admit_all else target_share
                flow.share = min(
                    target_share, max(RECOVERY_START_FRACTION, MAX_SHARE_GROWTH_FACTOR * flow.share)
                )
            used_capacity += sum(min(demand, weight * level) for demand, weight in pairs)

    def _adjust_unattributed_share(self, spare_ratio: float, elapsed_s: float) -> None:
        """Raises or lowers the admitted share of unattributed calls.

        Args:
            spare_ratio: Free slots minus the waiting calls above the target, divided by the limit;
                negative while too many calls wait.
            elapsed_s: Seconds since the previous adjustment.
        """
        if load.UNATTRIBUTED in self._flows:
            # After a stall of the machine, the calls that wait now say little about the whole
            # interval.
            step_s = min(elapsed_s, MAX_STEP_S)
            change_per_s = UNATTRIBUTED_GAIN * spare_ratio
            if self._scarce:
                if spare_ratio <= IDLE_RATIO:
                    change_per_s *= max(self._unattributed_share, MIN_GAIN_FACTOR)
                excess = self._rejections.fraction - TOLERATED_REJECTIONS
                if excess > 0.0:
                    change_per_s = min(0.0, change_per_s) - REJECTION_GAIN * excess
            share = self._unattributed_share + change_per_s * step_s
            self._unattributed_share = min(1.0, max(RECOVERY_START_FRACTION, share))

    def _build_threshold(self) -> load.Threshold:
        """Returns the threshold to report to callers.

        It lists the MAX_LISTED_SHARES lowest shares and that of unattributed calls. All other teams
        get the default share of their class, the highest among its teams.
        """
        accepted = self._shown_acceptance()
        reduced = {key: flow.share for key, flow in self._flows.items() if flow.share < 1.0}
        if not reduced and self._unattributed_share >= 1.0:
            return load.ADMIT_ALL if accepted >= 1.0 else load.Threshold(accepted=accepted)
        attributed = {key: flow for key, flow in self._flows.items() if key != load.UNATTRIBUTED}
        defaults = tuple(
            max([flow.share for key, flow in attributed.items() if key[0] is importance] or [1.0])
            for importance in call.Importance
        )
        listed = dict(sorted(reduced.items(), key=lambda item: item[1])[:MAX_LISTED_SHARES])
        if self._unattributed_share < 1.0:
            listed[load.UNATTRIBUTED] = self._unattributed_share
        return load.Threshold(defaults, listed, accepted)

    def _shown_acceptance(self) -> float:
        """Returns the accepted fraction that is reported; it matters to unattributed calls only."""
        rejected = self._rejections.fraction
        if rejected < MIN_SHOWN_REJECTIONS or not self.divides_kinds:
            return 1.0
        return round(1.0 - rejected, SHOWN_DECIMALS)
