"""Retry budget: limits the retries of one node to its share of the fleet's budget."""

from collections.abc import Callable

import attrs

RETRY_RATIO = 0.1  # Retries for each first attempt.
SLACK_RETRIES = 10.0  # Of all nodes in a window, beyond the ratio.
WINDOW_S = 50.0
MIN_CAPACITY_TOKENS = 1.0


@attrs.define
class _Bucket:
    """Tokens for retries and the monotonic time in seconds of the last refill."""

    tokens: float
    refilled_at: float


class RetryBudget:
    """Token bucket per service, for use on one event loop.

    Each first attempt adds `ratio` tokens, and a retry takes one. The fleet's slack is divided
    evenly among the nodes: a node's share is the capacity of its bucket, and a bucket refills by
    that share in each window, even without traffic.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        slack: float = SLACK_RETRIES,
        window_s: float = WINDOW_S,
        fleet_size: Callable[[], int] = lambda: 1,
    ) -> None:
        """Creates a budget in which the bucket of each service starts full.

        Args:
            ratio: Retries for each first attempt.
            slack: Retries of all nodes in a window, beyond the ratio.
            window_s: The window in seconds.
            fleet_size: Returns the number of nodes in the fleet.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._fleet_size = fleet_size
        self._last_capacity = 0.0
        self._buckets: dict[str, _Bucket] = {}

    def add_first_attempt(self, service: str, now: float) -> None:
        """Adds the tokens of one first attempt to `service`."""
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._refilled_bucket(service, now)
        if bucket.tokens < self._last_capacity:
            bucket.tokens += self._ratio

    def try_take(self, service: str, now: float) -> bool:
        """Takes a token for a retry; returns False if less than one is left."""
        bucket = self._refilled_bucket(service, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _slack_per_node(self) -> float:
        return self._slack / max(1, self._fleet_size())

    def _update_capacity(self) -> float:
        """Stores and returns the tokens that a bucket holds at most, from the fleet size."""
        self._last_capacity = max(MIN_CAPACITY_TOKENS, self._slack_per_node())
        return self._last_capacity

    def _refilled_bucket(self, service: str, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(service, _Bucket(self._update_capacity(), now))
        elapsed_s = max(0.0, now - bucket.refilled_at)
        refill = elapsed_s * self._slack_per_node() / self._window_s
        bucket.tokens = min(self._update_capacity(), bucket.tokens + refill)
        bucket.refilled_at = max(now, bucket.refilled_at)
        return bucket
