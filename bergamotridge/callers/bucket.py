"""Exact token bucket whose tokens may be lent to other nodes.

The invariant: `level + lent <= burst` at every moment, and tokens are created at `rate` only. Each
admitted call destroys one token, so at most `burst + rate * t` calls are admitted in any window of
t seconds.
"""

import attrs

from bergamotridge.store import quota

UNDO_WINDOW_S = 60.0


@attrs.define
class _MinFreeCapacity:
    """Minimum of the free capacity over the current and the previous window.

    Free capacity is the number of tokens that the bucket could hold in addition to its level. A
    minimum of 0 means that tokens may have overflowed.

    Attributes:
        window_s: Length of a window in seconds.
        window_start: Monotonic time in seconds at which the current window started.
        current: Minimum in the current window, in tokens.
        previous: Minimum in the previous window, in tokens.
    """

    window_s: float
    window_start: float
    current: float
    previous: float

    def record(self, free_capacity: float, now: float) -> None:
        if now - self.window_start >= self.window_s:
            is_stale = now - self.window_start >= 2 * self.window_s
            self.previous = free_capacity if is_stale else self.current
            self.current = free_capacity
            self.window_start = now
        self.current = min(self.current, free_capacity)

    @property
    def minimum(self) -> float:
        return min(self.current, self.previous)

    def subtract(self, tokens: float) -> None:
        self.current -= tokens
        self.previous -= tokens


class TokenBucket:
    """Token bucket without a clock of its own: each method that depends on the time takes `now`.

    A clock that steps back creates no tokens. Not thread-safe: the caller must hold a lock around
    each method call.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        now: float,
        *,
        level: float = 0.0,
        undo_window_s: float = UNDO_WINDOW_S,
    ) -> None:
        """Creates a bucket.

        Args:
            rate: Tokens created per second.
            burst: Most tokens in existence at once, lent ones included.
            now: Monotonic time in seconds.
            level: Tokens to start with.
            undo_window_s: Age in seconds up to which a taken token may be given back.
        """
        self._rate = rate
        self._burst = burst
        self._level = min(level, burst)
        self._lent_ahead = 0
        self._lent_to_waiting = 0
        self._refilled_at = now
        self._reserve_until = now
        self._reserve_all_until = float("-inf")
        free_capacity = burst - self._level
        self._min_free_capacity = _MinFreeCapacity(undo_window_s, now, free_capacity, free_capacity)

    @property
    def level(self) -> float:
        """Tokens that can be taken or lent, as of the last refill."""
        return self._level

    @property
    def lent_ahead(self) -> int:
        """Tokens that other nodes have drawn ahead and may still spend."""
        return self._lent_ahead

    @property
    def lent_to_waiting(self) -> int:
        """Tokens that were lent for calls which wait at other nodes, and may still be spent."""
        return self._lent_to_waiting

    @property
    def burst(self) -> float:
        """Most tokens in existence at once, lent ones included."""
        return self._burst

    @property
    def rate(self) -> float:
        """Tokens created per second."""
        return self._rate

    def refill(self, now: float) -> None:
        """Creates the tokens due since the last refill, up to the free capacity."""
        for end in sorted((self._reserve_all_until, self._reserve_until)):
            if self._refilled_at < end < now:
                self._refill_until(end)
        self._refill_until(now)

    def _refill_until(self, time: float) -> None:
        """Refills up to a time before which no reservation ends."""
        max_level = max(0.0, self._burst - self._lent() - self._reserved_tokens(self._refilled_at))
        elapsed_s = max(0.0, time - self._refilled_at)
        self._refilled_at = max(time, self._refilled_at)
        self._level = min(max_level, self._level + elapsed_s * self._rate)
        self._min_free_capacity.record(max_level - self._level, self._refilled_at)

    def reserve_until(self, time: float, all_until: float = float("-inf")) -> None:
        """Reserves capacity for the tokens that the previous process on this host may have lent.

        Args:
            time: Monotonic time in seconds at which the last of the tokens that were drawn ahead
                has expired.
            all_until: The same for tokens that were lent for waiting calls, which may be the whole
                burst.
        """
        self._reserve_until = time
        self._reserve_all_until = all_until

    def _lent(self) -> int:
        return self._lent_ahead + self._lent_to_waiting

    def _reserved_tokens(self, now: float) -> float:
        if now < self._reserve_all_until:
            return self._burst
        return quota.lendable_tokens(self._burst) if now < self._reserve_until else 0.0

    def take(self, now: float) -> bool:
        """Spends one token for a call; returns False if there is none."""
        self.refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def give_back(self, now: float, taken_at: float) -> None:
        """Undoes the `take` of a call that has not run.

        The level becomes what it would be without the `take`. A token that would have overflowed
        the bucket since then stays spent, and so does one taken more than the undo window ago,
        for which an overflow can no longer be determined.
        """
        self.refill(now)
        if now - taken_at > self._min_free_capacity.window_s:
            return
        restored = min(1.0, max(0.0, self._min_free_capacity.minimum))
        self._level += restored
        self._min_free_capacity.subtract(restored)

    def lend(self, wanted: int, now: float) -> int:
        """Lends up to `wanted` whole tokens ahead to another node and returns their number."""
        self.refill(now)
        lendable = quota.lendable_tokens(self._burst) - self._lent_ahead
        granted = max(0, min(wanted, int(min(self._level, lendable))))
        self._level -= granted
        self._lent_ahead += granted
        return granted

    def lend_to_waiting(self, wanted: int, now: float) -> int:
        """Lends up to `wanted` whole tokens for waiting calls and returns their number."""
        self.refill(now)
        granted = max(0, min(wanted, int(self._level)))
        self._level -= granted
        self._lent_to_waiting += granted
        return granted

    def settle(self, spent: int, unused: int, now: float) -> None:
        """Ends the loan of tokens that were drawn ahead.

        Args:
            spent: Number of lent tokens that were spent or have expired; they cease to exist.
            unused: Number of lent tokens that go back to the level, up to the burst.
            now: Monotonic time in seconds.
        """
        self.refill(now)
        self._lent_ahead -= spent + unused
        self._level = min(self._level + unused, max(0.0, self._burst - self._lent()))
        self._min_free_capacity.record(self._burst - self._lent() - self._level, self._refilled_at)

    def end_loan_to_waiting(self, tokens: int, now: float) -> None:
        """Counts tokens that were lent for waiting calls as spent."""
        self.refill(now)
        self._lent_to_waiting -= tokens
        self._min_free_capacity.record(self._burst - self._lent() - self._level, self._refilled_at)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Changes rate and burst from now on; a lower burst discards excess tokens at once."""
        self.refill(now)
        self._rate = rate
        self._burst = burst
        self.refill(now)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a token can be taken, infinity if none is ever created."""
        self.refill(now)
        if self._level >= 1.0:
            return 0.0
        if self._rate <= 0.0 or self._burst < 1.0:
            return float("inf")
        refill_s = (1.0 - self._level) / self._rate
        if self._burst - self._reserved_tokens(now) >= 1.0:
            return refill_s
        # Until the reservation ends, it leaves no capacity for a whole token.
        return max(self._reserve_until, self._reserve_all_until) - now + refill_s
