"""Tokens of one team that a node has drawn from holders and not yet spent."""

import math

import attrs

from bergamotridge.util import decay

DEMAND_WINDOW_S = 2.0
LONGEST_HORIZON_S = 2.0
SHORTEST_HORIZON_S = 0.05
BURST_SHARE = 0.25  # Part of the time in which the rate fills the burst for which to draw ahead.
LOW_WATER = 0.25
KEEP_HORIZONS = 3.0
KEEP_LIFETIMES = 0.6
NEVER = float("inf")


@attrs.define(eq=False)
class _Batch:
    """Tokens of one grant.

    Attributes:
        holder: Host of the holder.
        incarnation: Incarnation of the holder.
        number: Number of the batch at the holder.
        left: Tokens not spent.
        drawn_at: When the request for them was sent.
        deadline: When they can no longer be spent.
        unsettled: When the calls asked that spent tokens of which the holder was not told.
    """

    holder: str
    incarnation: int
    number: int
    left: int
    drawn_at: float
    deadline: float
    unsettled: list[float] = attrs.field(factory=list)


@attrs.frozen
class Settlement:
    """What became of some tokens of a batch."""

    incarnation: int
    batch: int
    spent: int
    unused: int


class Prepaid:
    """Drawn tokens of one team at one node. The caller holds a lock around each method."""

    def __init__(self, now: float) -> None:
        """Starts with no token; `now` is monotonic seconds."""
        self._batches: list[_Batch] = []
        self._demand = decay.DecayingRate(DEMAND_WINDOW_S, now)
        self._horizon_s = LONGEST_HORIZON_S
        self.waiting = 0

    def configure(self, rate: float, burst: float) -> None:
        """Sets how far ahead to draw: tokens on hand at idle nodes must not use up the burst."""
        fill_s = burst / rate if rate > 0.0 else LONGEST_HORIZON_S
        self._horizon_s = max(SHORTEST_HORIZON_S, min(LONGEST_HORIZON_S, BURST_SHARE * fill_s))

    def note_demand(self, now: float) -> None:
        """Counts a call that asks for a token."""
        self._demand.note(now)

    def demand(self, now: float) -> float:
        """Returns the calls per second that ask for tokens here."""
        return self._demand.rate(now)

    def take(self, now: float, asked_at: float) -> bool:
        """Spends the token that expires first; returns False if there is none.

        Args:
            now: Monotonic time in seconds.
            asked_at: When the call asked, by which `give_back` finds its token.
        """
        self._expire(now)
        for batch in self._batches:
            if batch.left:
                batch.left -= 1
                batch.unsettled.append(asked_at)
                return True
        return False

    def left(self, now: float) -> int:
        """Returns the tokens that may be spent now."""
        self._expire(now)
        return sum(batch.left for batch in self._batches)

    def give_back(self, now: float, asked_at: float) -> bool:
        """Undoes a take unless its batch has expired or the holder was told of it."""
        self._expire(now)
        for batch in self._batches:
            if asked_at in batch.unsettled:
                batch.unsettled.remove(asked_at)
                batch.left += 1
                return True
        return False

    def add(
        self, holder: str, incarnation: int, number: int, count: int, drawn_at: float, life_s: float
    ) -> None:
        """Adds granted tokens, which live for `life_s` seconds from `drawn_at`."""
        batch = _Batch(holder, incarnation, number, count, drawn_at, drawn_at + life_s)
        self._batches.append(batch)
        self._batches.sort(key=lambda item: item.deadline)

    def wanted(self, now: float) -> int:
        """Returns how many tokens to draw now."""
        left = self.left(now)
        ahead = self._demand.rate(now) * self._horizon_s
        if self.waiting <= left and left >= ahead * LOW_WATER:
            return 0
        return max(0, math.floor(ahead) + self.waiting - left)

    def settle(self, holder: str, now: float, everything: bool) -> list[Settlement]:
        """Returns what to tell a holder and forgets it.

        Args:
            holder: Host of the holder.
            now: Monotonic time in seconds.
            everything: Also what could be told later; true if a message goes there anyway.
        """
        self._expire(now)
        settlements = []
        for batch in self._batches:
            if batch.holder != holder or not (everything or self._due(batch, now)):
                continue
            unused = batch.left if now >= self._keep_until(batch) else 0
            spent = len(batch.unsettled)
            if spent or unused:
                batch.left -= unused
                batch.unsettled.clear()
                settlements.append(Settlement(batch.incarnation, batch.number, spent, unused))
        self._batches = [batch for batch in self._batches if batch.left or batch.unsettled]
        return settlements

    def return_all(self) -> None:
        """Makes all tokens due for return at the next `settle`."""
        for batch in self._batches:
            batch.drawn_at = -NEVER

    def holders_due(self, now: float) -> set[str]:
        """Returns the hosts that should be told something by now."""
        self._expire(now)
        return {batch.holder for batch in self._batches if self._due(batch, now)}

    def _due(self, batch: _Batch, now: float) -> bool:
        if batch.unsettled and now - batch.unsettled[0] >= self._horizon_s:
            return True
        return now >= self._keep_until(batch) and bool(batch.left or batch.unsettled)

    def _keep_until(self, batch: _Batch) -> float:
        life_s = batch.deadline - batch.drawn_at
        return batch.drawn_at + min(KEEP_HORIZONS * self._horizon_s, KEEP_LIFETIMES * life_s)

    def _expire(self, now: float) -> None:
        if self._batches and self._batches[0].deadline <= now:
            self._batches = [batch for batch in self._batches if batch.deadline > now]
