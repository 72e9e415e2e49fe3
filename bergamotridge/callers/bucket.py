"""Exact token bucket whose tokens may be lent to other nodes.

The invariant: `level + lent <= burst` at every moment, and tokens are created at `rate` only. Each
admitted call destroys one token, so the calls admitted in any window of t seconds are at most
`burst + rate * t`.
"""

import attrs

from bergamotridge.store import quota

UNDO_WINDOW_S = 60.0


@attrs.define
class _LowestRoom:
    """Lowest free room seen in the last one to two windows."""

    window_s: float
    started: float
    current: float
    previous: float

    def note(self, room: float, now: float) -> None:
        if now - self.started >= self.window_s:
            stale = now - self.started >= 2 * self.window_s
            self.previous = room if stale else self.current
            self.current = room
            self.started = now
        self.current = min(self.current, room)

    @property
    def lowest(self) -> float:
        return min(self.current, self.previous)

    def shrink(self, tokens: float) -> None:
        self.current -= tokens
        self.previous -= tokens


class TokenBucket:
    """Token bucket in which `now` is an argument of every decision.

    A clock that steps back creates no token. The caller holds a lock around each method.
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
            burst: Most tokens in existence at once.
            now: Monotonic time in seconds.
            level: Tokens to start with.
            undo_window_s: Age in seconds up to which a taken token may be given back.
        """
        self._rate = rate
        self._burst = burst
        self._level = min(level, burst)
        self._lent = 0
        self._filled_at = now
        self._reserve_until = now
        room = burst - self._level
        self._room = _LowestRoom(undo_window_s, now, room, room)

    @property
    def level(self) -> float:
        """Tokens that can be taken or lent, as of the last decision."""
        return self._level

    @property
    def lent(self) -> int:
        """Tokens that other nodes hold and may still spend."""
        return self._lent

    @property
    def burst(self) -> float:
        """Most tokens in existence at once."""
        return self._burst

    @property
    def rate(self) -> float:
        """Tokens created per second."""
        return self._rate

    def refill(self, now: float) -> None:
        """Creates the tokens due since the last decision, as far as there is room."""
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        room = max(0.0, self._burst - self._lent - self._reserved(now))
        self._level = min(room, self._level + elapsed * self._rate)
        self._room.note(room - self._level, self._filled_at)

    def reserve_until(self, time: float) -> None:
        """Keeps room until the given monotonic time for all that a predecessor may have lent."""
        self._reserve_until = time

    def _reserved(self, now: float) -> float:
        return quota.lendable(self._burst) if now < self._reserve_until else 0.0

    def take(self, now: float) -> bool:
        """Spends one token for a call; returns False if there is none."""
        self.refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def give_back(self, now: float, taken_at: float) -> None:
        """Undoes the take of a call that has not run.

        The level becomes what it would be without the take: a token that would have overflowed
        in the meantime, and one taken too long ago to tell, stays spent.
        """
        self.refill(now)
        if now - taken_at > self._room.window_s:
            return
        restored = min(1.0, max(0.0, self._room.lowest))
        self._level += restored
        self._room.shrink(restored)

    def lend(self, wanted: int, now: float) -> int:
        """Hands up to `wanted` whole tokens to another node and returns how many."""
        self.refill(now)
        granted = max(
            0, min(wanted, int(min(self._level, quota.lendable(self._burst) - self._lent)))
        )
        self._level -= granted
        self._lent += granted
        return granted

    def settle(self, spent: int, unused: int, now: float) -> None:
        """Takes note that lent tokens were spent or expired, and takes unused ones back."""
        self.refill(now)
        self._lent -= spent + unused
        self._level = min(self._level + unused, max(0.0, self._burst - self._lent))
        self._room.note(self._burst - self._lent - self._level, self._filled_at)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Changes rate and burst from now on; a lower burst discards tokens at once."""
        self.refill(now)
        self._rate = rate
        self._burst = burst
        self.refill(now)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a token can be taken, infinity if none is ever created."""
        self.refill(now)
        if self._level >= 1.0:
            return 0.0
        if self._rate <= 0.0:
            return float("inf")
        created_s = (1.0 - self._level) / self._rate
        if self._burst - self._reserved(now) >= 1.0:
            return created_s
        return self._reserve_until - now + created_s
