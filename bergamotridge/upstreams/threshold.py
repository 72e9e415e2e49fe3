"""Computes the share of the calls of each class and team that a gate admits.

A class consists of all calls of the same importance.
"""

import math
from collections.abc import Mapping, Sequence

import attrs

from bergamotridge import call
from bergamotridge.nodes import load

UPDATE_INTERVAL_S = 0.05
FAST_SMOOTHING_FACTOR = 0.2  # Weight of the latest interval.
SLOW_SMOOTHING_FACTOR = 0.03  # Weight of the latest interval.
CHANGE_SIGMAS = 2.5
MAX_SHARE_GROWTH_FACTOR = 2.0  # Of a share, in one update.
# Lowest value to which a rising share is set, as no factor lets a share of 0 grow. It is also the
# lowest share of unattributed calls.
RECOVERY_START_FRACTION = 0.02
MIN_DIVISOR_FRACTION = 0.01  # Least share that an arrival rate is divided by to estimate demand.
HOLD_SMOOTHING_FACTOR = 0.05  # Weight of the latest call.
TARGET_QUEUE_FRACTION = 0.1  # Of the limit.
CORRECTION_S = 0.5
MAX_LISTED_SHARES = 32
MAX_STEP_S = 0.2  # Longest time that one adjustment of the unattributed share accounts for.
UNATTRIBUTED_GAIN = 1.0  # Change of the share per second if as many slots as the limit are free.


@attrs.define
class _Estimate:
    """Arrival rate and admitted share, smoothed exponentially with the same factor.

    Attributes:
        smoothing: Weight of the latest interval, for intervals of UPDATE_INTERVAL_S.
        rate: Smoothed arrivals per second.
        share: Smoothed admitted share, 0.0 to 1.0.
    """

    smoothing: float
    rate: float = 0.0
    share: float = 1.0

    @property
    def demand(self) -> float:
        """Calls per second that would arrive if no calls were shed."""
        return self.rate / max(self.share, MIN_DIVISOR_FRACTION)

    @property
    def demand_std_dev(self) -> float:
        """Standard deviation of the demand in calls per second, if arrivals are independent."""
        window_s = UPDATE_INTERVAL_S / self.smoothing
        return math.sqrt(max(self.rate, 1.0) / (2.0 * window_s)) / max(
            self.share, MIN_DIVISOR_FRACTION
        )

    def add(self, rate: float, share: float, elapsed_s: float) -> None:
        """Adds the arrival rate and the share of the last `elapsed_s` seconds to the averages."""
        decay = (1.0 - self.smoothing) ** (elapsed_s / UPDATE_INTERVAL_S)
        self.rate = decay * self.rate + (1.0 - decay) * rate
        self.share = decay * self.share + (1.0 - decay) * share


@attrs.define
class _Flow:
    """Arrivals, estimated demand and admitted share of one class and team.

    The fast estimates of all teams of a class add up to the demand of the class. The slow estimates
    divide this demand between the teams, as the fast ones vary so much for a team with few calls
    that it would be limited at random. When the two differ by more than random variation explains
    (CHANGE_SIGMAS standard deviations), the slow estimate is set to the fast one.
    """

    weight: float = 1.0
    arrivals: int = 0
    share: float = 1.0
    fast: _Estimate = attrs.field(factory=lambda: _Estimate(FAST_SMOOTHING_FACTOR))
    slow: _Estimate = attrs.field(factory=lambda: _Estimate(SLOW_SMOOTHING_FACTOR))

    def close_interval(self, elapsed_s: float) -> None:
        """Adds the arrivals of the last `elapsed_s` seconds to the estimates; resets the count."""
        rate = self.arrivals / elapsed_s
        self.arrivals = 0
        self.fast.add(rate, self.share, elapsed_s)
        self.slow.add(rate, self.share, elapsed_s)
        if abs(self.fast.demand - self.slow.demand) > CHANGE_SIGMAS * self.fast.demand_std_dev:
            self.slow.rate, self.slow.share = self.fast.rate, self.fast.share


def _estimate_demands(flows: Sequence[_Flow]) -> list[float]:
    """Returns the estimated demand of each flow of a class, in calls per second."""
    total = sum(flow.fast.demand for flow in flows)
    divisor = sum(flow.slow.demand for flow in flows)
    return [total * flow.slow.demand / divisor if divisor else 0.0 for flow in flows]


def fair_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Returns the allotment per unit of weight that divides `capacity` by max-min fairness.

    Args:
        demands: Pairs of demand and weight.
        capacity: Capacity to divide, in the unit of the demands.

    Returns:
        The level L for which the sum of min(demand, weight * L) is the capacity, or infinity if
        the capacity covers all demands.
    """
    remaining = capacity
    remaining_weight = sum(weight for _, weight in demands)
    for demand, weight in sorted(demands, key=lambda pair: pair[0] / pair[1]):
        level = remaining / remaining_weight
        if demand / weight > level:
            return max(0.0, level)
        remaining -= demand
        remaining_weight -= weight
    return math.inf


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
    """

    def __init__(self) -> None:
        self._flows: dict[load.Key, _Flow] = {}
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

    def record_arrival(self, context: call.CallContext) -> None:
        """Counts a call that reached the gate, admitted or not."""
        key = (context.importance, context.team)
        if context.unattributed:
            key = load.UNATTRIBUTED
        flow = self._flows.get(key)
        if flow is None:
            share = 1.0 if context.unattributed else self._threshold.defaults[context.importance]
            flow = self._flows[key] = _Flow(share=share)
        flow.weight = context.weight
        flow.arrivals += 1

    def record_wait(self) -> None:
        """Records that a call found no free slot."""
        self._any_waited = True

    def record_hold_time(self, hold_s: float) -> None:
        """Adds the seconds for which a finished call held its slot to the smoothed hold time."""
        if not self._hold_s:
            self._hold_s = hold_s
        self._hold_s += HOLD_SMOOTHING_FACTOR * (hold_s - self._hold_s)

    def is_update_due(self, now: float) -> bool:
        """Returns whether `update` would compute a new threshold at time `now`."""
        return now - self._updated_at >= UPDATE_INTERVAL_S

    def update(
        self, limit: int, in_flight: int, waiting: Mapping[call.Importance, int], now: float
    ) -> bool:
        """Computes a new threshold if UPDATE_INTERVAL_S has passed; returns whether it has.

        Args:
            limit: Number of calls that may run concurrently.
            in_flight: Number of running calls.
            waiting: Number of waiting calls by class.
            now: Monotonic time in seconds.
        """
        if self._updated_at == -math.inf:
            self._updated_at = now
        elapsed_s = now - self._updated_at
        if elapsed_s < UPDATE_INTERVAL_S:
            return False
        self._updated_at = now
        for flow in self._flows.values():
            flow.close_interval(elapsed_s)
        # A stall of the machine lowers the capacity estimate, too. Calls are therefore shed only if
        # some have waited since the last update, or if shedding has already begun.
        is_contended, self._any_waited = self._any_waited or not self._threshold.admits_all, False
        if self._hold_s and is_contended:
            target_queue = TARGET_QUEUE_FRACTION * limit
            self._assign_shares(limit / self._hold_s, limit - in_flight, waiting, target_queue)
            spare_slots = limit - in_flight + target_queue - sum(waiting.values())
            self._adjust_unattributed_share(spare_slots / limit, elapsed_s)
        self._threshold = self._build_threshold()
        return True

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
            flows = [flow for key, flow in self._flows.items() if key[0] is importance]
            if not flows:
                continue
            headroom = free_slots + target_queue - waiting_so_far
            available = max(0.0, capacity + headroom / CORRECTION_S - used_capacity)
            demands = _estimate_demands(flows)
            pairs = [(demand, flow.weight) for demand, flow in zip(demands, flows, strict=True)]
            level = fair_level(pairs, available)
            # At a low limit with slow calls there are too few arrivals for a reliable estimate, so
            # critical calls are shed only while some of them wait.
            admit_all = importance is call.Importance.CRITICAL and not waiting.get(importance)
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
            share = self._unattributed_share + UNATTRIBUTED_GAIN * spare_ratio * step_s
            self._unattributed_share = min(1.0, max(RECOVERY_START_FRACTION, share))

    def _build_threshold(self) -> load.Threshold:
        """Returns the threshold to report to callers.

        It lists the MAX_LISTED_SHARES lowest shares and that of unattributed calls. All other teams
        get the default share of their class, the highest among its teams.
        """
        reduced = {key: flow.share for key, flow in self._flows.items() if flow.share < 1.0}
        if not reduced and self._unattributed_share >= 1.0:
            return load.ADMIT_ALL
        attributed = {key: flow for key, flow in self._flows.items() if key != load.UNATTRIBUTED}
        defaults = tuple(
            max([flow.share for key, flow in attributed.items() if key[0] is importance] or [1.0])
            for importance in call.Importance
        )
        listed = dict(sorted(reduced.items(), key=lambda item: item[1])[:MAX_LISTED_SHARES])
        if self._unattributed_share < 1.0:
            listed[load.UNATTRIBUTED] = self._unattributed_share
        return load.Threshold(defaults, listed)
