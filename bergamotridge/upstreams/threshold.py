"""Works out which share of each class and team a gate can take."""

import math
from collections.abc import Mapping, Sequence

import attrs

from bergamotridge import call
from bergamotridge.nodes import load

INTERVAL_S = 0.05
QUICK_SMOOTHING = 0.2
SLOW_SMOOTHING = 0.03
CHANCE = 2.5
GROWTH = 2.0
FIRST_SHARE = 0.02
DEMAND_FLOOR = 0.01
HOLD_SMOOTHING = 0.05
QUEUE_TARGET = 0.1
CORRECTION_S = 0.5
LISTED_TEAMS = 32
LONGEST_STEP_S = 0.2
UNATTRIBUTED_GAIN = 1.0  # Change of the share in a second, for each limit's worth of free slots.


@attrs.define
class _Estimate:
    """Arrivals per second and the share that let them through, smoothed alike.

    Attributes:
        smoothing: Weight of the last interval of INTERVAL_S.
        rate: Smoothed arrivals per second.
        share: Smoothed share.
    """

    smoothing: float
    rate: float = 0.0
    share: float = 1.0

    @property
    def demand(self) -> float:
        """Calls per second that would arrive if nothing were shed."""
        return self.rate / max(self.share, DEMAND_FLOOR)

    @property
    def noise(self) -> float:
        """Standard deviation of the demand, if arrivals are independent."""
        window_s = INTERVAL_S / self.smoothing
        return math.sqrt(max(self.rate, 1.0) / (2.0 * window_s)) / max(self.share, DEMAND_FLOOR)

    def add(self, rate: float, share: float, seconds: float) -> None:
        """Takes in what arrived during the last `seconds`."""
        keep = (1.0 - self.smoothing) ** (seconds / INTERVAL_S)
        self.rate = keep * self.rate + (1.0 - keep) * rate
        self.share = keep * self.share + (1.0 - keep) * share


@attrs.define
class _Flow:
    """Arrivals of one class and team.

    The quick estimates of a class add up to its demand, the slow ones divide it between teams: a
    team with few calls would otherwise be limited by chance. A slow one follows the quick one at
    once when they differ by more than chance explains.
    """

    weight: float = 1.0
    arrivals: int = 0
    share: float = 1.0
    quick: _Estimate = attrs.field(factory=lambda: _Estimate(QUICK_SMOOTHING))
    slow: _Estimate = attrs.field(factory=lambda: _Estimate(SLOW_SMOOTHING))

    def close_interval(self, seconds: float) -> None:
        """Takes the arrivals of the last `seconds` into the estimates."""
        rate = self.arrivals / seconds
        self.arrivals = 0
        self.quick.add(rate, self.share, seconds)
        self.slow.add(rate, self.share, seconds)
        if abs(self.quick.demand - self.slow.demand) > CHANCE * self.quick.noise:
            self.slow.rate, self.slow.share = self.quick.rate, self.quick.share


def _demands(flows: Sequence[_Flow]) -> list[float]:
    """Returns the demand of each team of a class, in calls per second."""
    total = sum(flow.quick.demand for flow in flows)
    divisor = sum(flow.slow.demand for flow in flows)
    return [total * flow.slow.demand / divisor if divisor else 0.0 for flow in flows]


def fair_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Returns the level per unit of weight that shares `capacity` by max-min fairness.

    Args:
        demands: Pairs of demand and weight.
        capacity: What there is to share, in the unit of the demands.

    Returns:
        A level L such that the sum of min(demand, weight * L) is the capacity, or infinity if all
        demands fit.
    """
    left = capacity
    weight_left = sum(weight for _, weight in demands)
    for demand, weight in sorted(demands, key=lambda pair: pair[0] / pair[1]):
        level = left / weight_left
        if demand / weight > level:
            return max(0.0, level)
        left -= demand
        weight_left -= weight
    return math.inf


class ThresholdController:
    """Works out the threshold of one gate from its arrivals and its capacity.

    Demand is what arrived divided by the share that was let through, both smoothed alike. The
    capacity is the limit over the time that a call holds its slot. For each class it is corrected
    so that free slots are filled, and what waits in this class and above it is worked off, within
    `CORRECTION_S`. Classes are filled in order; where capacity ends, teams share by max-min
    fairness.

    Calls that do not tell their request cannot be shed by class here, and are shed as whole
    requests by the nodes that let these in. Their share follows free slots and waiting calls, and
    towards the others they count as one more team of the lowest class.
    """

    def __init__(self) -> None:
        self._flows: dict[load.Key, _Flow] = {}
        self._updated_at = -math.inf
        self._hold_s = 0.0
        self._threshold = load.OPEN
        self._waited = False
        self._unattributed = 1.0

    @property
    def threshold(self) -> load.Threshold:
        """The threshold last worked out."""
        return self._threshold

    @property
    def hold_s(self) -> float:
        """Smoothed time in seconds for which a call holds its slot, 0 before the first call."""
        return self._hold_s

    def arrived(self, context: call.CallContext) -> None:
        """Counts a call that reached the gate, taken or not."""
        key = (context.importance, context.team)
        if context.unattributed:
            key = load.UNATTRIBUTED
        flow = self._flows.get(key)
        if flow is None:
            share = 1.0 if context.unattributed else self._threshold.defaults[context.importance]
            flow = self._flows[key] = _Flow(share=share)
        flow.weight = context.weight
        flow.arrivals += 1

    def waited(self) -> None:
        """Learns that a call found all slots taken."""
        self._waited = True

    def held(self, seconds: float) -> None:
        """Learns for how long a call that ended held its slot."""
        if not self._hold_s:
            self._hold_s = seconds
        self._hold_s += HOLD_SMOOTHING * (seconds - self._hold_s)

    def due(self, now: float) -> bool:
        """Returns whether `update` would work out the threshold again."""
        return now - self._updated_at >= INTERVAL_S

    def update(
        self, limit: int, in_flight: int, waiting: Mapping[call.Importance, int], now: float
    ) -> bool:
        """Works out the threshold again if an interval has passed; returns whether it has.

        Args:
            limit: Calls that may run at once.
            in_flight: Calls that run.
            waiting: Calls that wait, by class.
            now: Monotonic time in seconds.
        """
        if self._updated_at == -math.inf:
            self._updated_at = now
        seconds = now - self._updated_at
        if seconds < INTERVAL_S:
            return False
        self._updated_at = now
        for flow in self._flows.values():
            flow.close_interval(seconds)
        # The estimate of the capacity alone sheds nothing: a stall of the machine lowers it too.
        crowded, self._waited = self._waited or not self._threshold.open, False
        if self._hold_s and crowded:
            target = QUEUE_TARGET * limit
            self._fill(limit / self._hold_s, limit - in_flight, waiting, target)
            room = limit - in_flight + target - sum(waiting.values())
            self._steer(room / limit, seconds)
        self._threshold = self._published()
        return True

    def _fill(
        self, capacity: float, free: int, waiting: Mapping[call.Importance, int], target: float
    ) -> None:
        used, ahead = 0.0, 0
        for importance in call.Importance:
            ahead += waiting.get(importance, 0)
            flows = [flow for key, flow in self._flows.items() if key[0] is importance]
            if not flows:
                continue
            missing = free + target - ahead
            left = max(0.0, capacity + missing / CORRECTION_S - used)
            demands = _demands(flows)
            pairs = [(demand, flow.weight) for demand, flow in zip(demands, flows, strict=True)]
            level = fair_level(pairs, left)
            # A small gate with slow calls counts too few arrivals to shed critical ones on it.
            estimate_only = importance is call.Importance.CRITICAL and not waiting.get(importance)
            for demand, flow in zip(demands, flows, strict=True):
                if flow is self._flows.get(load.UNATTRIBUTED):
                    continue
                aim = min(1.0, flow.weight * level / demand) if demand else 1.0
                aim = 1.0 if estimate_only else aim
                flow.share = min(aim, max(FIRST_SHARE, GROWTH * flow.share))
            used += sum(min(demand, weight * level) for demand, weight in pairs)

    def _steer(self, room: float, seconds: float) -> None:
        """Moves the share of calls that do not tell their request.

        Args:
            room: Free slots less calls that wait too many, over the limit.
            seconds: Time since the last step.
        """
        if load.UNATTRIBUTED in self._flows:
            # After a stall of the machine its waiting calls say little about the time before.
            step_s = min(seconds, LONGEST_STEP_S)
            changed = self._unattributed + UNATTRIBUTED_GAIN * room * step_s
            self._unattributed = min(1.0, max(FIRST_SHARE, changed))

    def _published(self) -> load.Threshold:
        limited = {key: flow.share for key, flow in self._flows.items() if flow.share < 1.0}
        if not limited and self._unattributed >= 1.0:
            return load.OPEN
        told = {key: flow for key, flow in self._flows.items() if key != load.UNATTRIBUTED}
        defaults = tuple(
            max([flow.share for key, flow in told.items() if key[0] is importance] or [1.0])
            for importance in call.Importance
        )
        listed = dict(sorted(limited.items(), key=lambda item: item[1])[:LISTED_TEAMS])
        if self._unattributed < 1.0:
            listed[load.UNATTRIBUTED] = self._unattributed
        return load.Threshold(defaults, listed)
