"""Retry budget: limits the retries of one node to its share of the fleet's budget."""

import math
from collections.abc import Callable

import attrs

RETRY_RATIO = 0.1  # Retries for each first attempt.
SLACK_RETRIES = 10.0  # Of all nodes in a window, beyond the ratio.
WINDOW_S = 50.0
MIN_CAPACITY_TOKENS = 1.0
# With a reserve only.
RESERVE_FRACTION = 0.5  # Of a bucket's capacity, which unattributed calls leave to direct ones.
UNATTRIBUTED_TOKENS_FRACTION = 0.5  # Of the tokens added to a bucket, for unattributed calls.


@attrs.define
class _Bucket:
    """Tokens for retries of one service.

    Attributes:
        tokens: Retries that may be made.
        refilled_at: Monotonic time in seconds of the last refill.
        unattributed_tokens: How many of the retries unattributed calls may make.
    """

    tokens: float
    refilled_at: float
    unattributed_tokens: float

    def add(self, tokens: float, capacity: float) -> None:
        """Adds tokens; unattributed calls may take UNATTRIBUTED_TOKENS_FRACTION of them."""
        self.tokens += tokens
        self.add_unattributed(tokens, capacity)

    def add_unattributed(self, tokens: float, capacity: float) -> None:
        """Lets unattributed calls take more of the tokens, as if `tokens` were added."""
        self.unattributed_tokens = min(
            capacity, self.unattributed_tokens + UNATTRIBUTED_TOKENS_FRACTION * tokens
        )


class RetryBudget:
    """Token bucket per service, for use on one event loop.

    Each first attempt adds `ratio` tokens, and a retry takes one. The fleet's slack is divided
    evenly among the nodes: a node's share is the capacity of its bucket, and a bucket refills by
    that share in each window, even without traffic. Buckets are empty when the process starts: an
    earlier process of the host may just have used up its share.

    With a reserve, an unattributed call takes a retry only while more than RESERVE_FRACTION of the
    capacity is left. In a large fleet a bucket holds a single token, which no part of the capacity
    can keep free, so such calls also take no more than a fraction of the tokens that are added.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        slack: float = SLACK_RETRIES,
        window_s: float = WINDOW_S,
        fleet_size: Callable[[], int] = lambda: 1,
        *,
        has_reserve: bool = False,
        started_at: float = -math.inf,
    ) -> None:
        """Creates a budget.

        Args:
            ratio: Retries for each first attempt.
            slack: Retries of all nodes in a window, beyond the ratio.
            window_s: The window in seconds.
            fleet_size: Returns the number of nodes in the fleet.
            has_reserve: True to keep a reserve for direct calls (`upstreams.call_kinds`).
            started_at: Monotonic time in seconds at which the process started and the buckets were
                empty; by default so long ago that they are full.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._fleet_size = fleet_size
        self._has_reserve = has_reserve
        self._started_at = started_at
        self._last_capacity = 0.0
        self._buckets: dict[str, _Bucket] = {}

    def add_first_attempt(self, service: str, now: float) -> None:
        """Adds the tokens of one first attempt to `service`."""
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._refilled_bucket(service, now)
        if bucket.tokens < self._last_capacity:
            bucket.add(self._ratio, self._last_capacity)
        elif bucket.unattributed_tokens < 1.0:
            # A full bucket of one token would else never let unattributed calls take it again.
            bucket.add_unattributed(self._ratio, self._last_capacity)

    def try_take(self, service: str, now: float, *, is_unattributed: bool = False) -> bool:
        """Takes a token for a retry; returns False if less than one is left.

        Args:
            service: Service that the call goes to.
            now: Monotonic time in seconds.
            is_unattributed: True for a call that names no request; it gets no token of the reserve.
        """
        bucket = self._refilled_bucket(service, now)
        if bucket.tokens < 1.0:
            return False
        if self._has_reserve and is_unattributed:
            reserve = RESERVE_FRACTION * self._last_capacity
            if bucket.tokens <= reserve or bucket.unattributed_tokens < 1.0:
                return False
            bucket.unattributed_tokens -= 1.0
        bucket.tokens -= 1.0
        return True

    def _slack_per_node(self) -> float:
        return self._slack / max(1, self._fleet_size())

    def _update_capacity(self) -> float:
        """Stores and returns the tokens that a bucket holds at most, from the fleet size."""
        self._last_capacity = max(MIN_CAPACITY_TOKENS, self._slack_per_node())
        return self._last_capacity

    def _refilled_bucket(self, service: str, now: float) -> _Bucket:
        capacity = self._update_capacity()
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = self._create_bucket(capacity, now)
        elapsed_s = max(0.0, now - bucket.refilled_at)
        bucket.add(elapsed_s * self._slack_per_node() / self._window_s, capacity)
        bucket.tokens = min(capacity, bucket.tokens)
        bucket.refilled_at = max(now, bucket.refilled_at)
        return bucket

    def _create_bucket(self, capacity: float, now: float) -> _Bucket:
        """Returns a bucket with what has been added since the process started."""
        tokens = capacity
        if math.isfinite(self._started_at):
            elapsed_s = max(0.0, now - self._started_at)
            tokens = min(capacity, elapsed_s * self._slack_per_node() / self._window_s)
        return _Bucket(tokens, now, tokens)
