"""Retry budget: retries of one node to a service, as a ratio of its first attempts."""

import threading

import attrs

RATIO = 0.1
DEPTH = 10.0
IDLE_RATE = 0.2


@attrs.define
class _Bucket:
    """Tokens for retries and the monotonic time in seconds at which they were counted."""

    tokens: float
    at: float


class RetryBudget:
    """Token bucket per service; thread-safe.

    Each first attempt adds `ratio` tokens, a retry takes one. A slow trickle over time lets a node
    with little traffic retry as well.
    """

    def __init__(
        self, ratio: float = RATIO, depth: float = DEPTH, idle_rate: float = IDLE_RATE
    ) -> None:
        """Creates full buckets.

        Args:
            ratio: Retries for each first attempt.
            depth: Most tokens kept.
            idle_rate: Tokens per second without traffic.
        """
        self._ratio = ratio
        self._depth = depth
        self._idle_rate = idle_rate
        self._lock = threading.Lock()
        self._buckets: dict[str, _Bucket] = {}

    def first_attempt(self, service: str, now: float) -> None:
        """Counts a first attempt."""
        with self._lock:
            bucket = self._bucket(service, now)
            bucket.tokens = min(self._depth, bucket.tokens + self._ratio)

    def may_retry(self, service: str, now: float) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        with self._lock:
            bucket = self._bucket(service, now)
            if bucket.tokens < 1.0:
                return False
            bucket.tokens -= 1.0
            return True

    def _bucket(self, service: str, now: float) -> _Bucket:
        bucket = self._buckets.setdefault(service, _Bucket(self._depth, now))
        passed = max(0.0, now - bucket.at)
        bucket.tokens = min(self._depth, bucket.tokens + passed * self._idle_rate)
        bucket.at = max(now, bucket.at)
        return bucket
