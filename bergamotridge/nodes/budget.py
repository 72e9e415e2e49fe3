"""Retry budget: what one node may add to the load of a service, as its part of the fleet's."""

from collections.abc import Callable

import attrs

RATIO = 0.1
SLACK = 10.0
WINDOW_S = 50.0
LEAST_DEPTH = 1.0


@attrs.define
class _Bucket:
    """Tokens for retries and the monotonic time in seconds at which they were counted."""

    tokens: float
    at: float


class RetryBudget:
    """Token bucket per service, on one event loop.

    Each first attempt adds `ratio` tokens, a retry takes one. The fleet's slack is divided evenly:
    a bucket holds a node's part of it, and refills that part in a window without traffic.
    """

    def __init__(
        self,
        ratio: float = RATIO,
        slack: float = SLACK,
        window_s: float = WINDOW_S,
        nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        """Creates full buckets.

        Args:
            ratio: Retries for each first attempt.
            slack: Retries of all nodes beyond the ratio in a window.
            window_s: The window in seconds.
            nodes: Returns the number of nodes in the fleet.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._nodes = nodes
        self._depth_bound = 0.0
        self._buckets: dict[str, _Bucket] = {}

    def first_attempt(self, service: str, now: float) -> None:
        """Counts a first attempt."""
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._bucket(service, now)
        if bucket.tokens < self._depth_bound:
            bucket.tokens += self._ratio

    def may_retry(self, service: str, now: float) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        bucket = self._bucket(service, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _share(self) -> float:
        return self._slack / max(1, self._nodes())

    def _depth(self) -> float:
        self._depth_bound = max(LEAST_DEPTH, self._share())
        return self._depth_bound

    def _bucket(self, service: str, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(service, _Bucket(self._depth(), now))
        passed = max(0.0, now - bucket.at)
        refilled = passed * self._share() / self._window_s
        bucket.tokens = min(self._depth(), bucket.tokens + refilled)
        bucket.at = max(now, bucket.at)
        return bucket
