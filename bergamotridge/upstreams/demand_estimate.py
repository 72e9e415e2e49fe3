"""Estimates the demand of each class and team at a gate, and divides capacity by demand."""

import math
from collections.abc import Sequence

import attrs

UPDATE_INTERVAL_S = 0.05
FAST_SMOOTHING_FACTOR = 0.2  # Weight of the latest interval.
SLOW_SMOOTHING_FACTOR = 0.03  # Weight of the latest interval.
CHANGE_SIGMAS = 2.5
MIN_DIVISOR_FRACTION = 0.01  # Least share that an arrival rate is divided by to estimate demand.


@attrs.define
class Estimate:
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
class Flow:
    """Arrivals, estimated demand and admitted share of one class and team.

    The fast estimates of all teams of a class add up to the demand of the class. The slow estimates
    divide this demand between the teams, as the fast ones vary so much for a team with few calls
    that it would be limited at random. When the two differ by more than random variation explains
    (CHANGE_SIGMAS standard deviations), the slow estimate is set to the fast one.
    """

    weight: float = 1.0
    arrivals: int = 0
    share: float = 1.0
    fast: Estimate = attrs.field(factory=lambda: Estimate(FAST_SMOOTHING_FACTOR))
    slow: Estimate = attrs.field(factory=lambda: Estimate(SLOW_SMOOTHING_FACTOR))

    def close_interval(self, elapsed_s: float) -> None:
        """Adds the arrivals of the last `elapsed_s` seconds to the estimates; resets the count."""
        rate = self.arrivals / elapsed_s
        self.arrivals = 0
        self.fast.add(rate, self.share, elapsed_s)
        self.slow.add(rate, self.share, elapsed_s)
        if abs(self.fast.demand - self.slow.demand) > CHANGE_SIGMAS * self.fast.demand_std_dev:
            self.slow.rate, self.slow.share = self.fast.rate, self.fast.share


def estimate_demands(flows: Sequence[Flow]) -> list[float]:
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
