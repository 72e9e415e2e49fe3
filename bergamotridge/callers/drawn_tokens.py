"""Tokens of one team that a node has drawn from holders and not yet spent."""

import math

import attrs

from bergamotridge.util import decay

DEMAND_WINDOW_S = 2.0
MAX_HORIZON_S = 2.0
MIN_HORIZON_S = 0.05
HORIZON_FRACTION = 0.25  # Of the time in which the rate fills the burst.
LOW_WATER_RATIO = 0.25  # More tokens are drawn below this part of the demand of one horizon.
# Unspent tokens are returned after this many horizons or this fraction of their lifetime,
# whichever comes first.
KEEP_HORIZONS = 3.0
KEEP_LIFETIME_FRACTION = 0.6
INFINITY_S = float("inf")


@attrs.define(eq=False)
class _Batch:
    """Tokens of one grant.

    Attributes:
        holder: Host of the holder.
        incarnation: Incarnation of the holder.
        number: Number of the batch at the holder.
        unspent: Number of tokens that can still be spent.
        drawn_at: Monotonic time in seconds at which the draw was sent.
        deadline: Monotonic time in seconds from which the tokens can no longer be spent.
        is_settled: Whether the holder has to be told which tokens were spent; False if it counts
            all of them as spent.
        unreported: Request times of the calls whose spent tokens were not reported to the holder
            yet.
    """

    holder: str
    incarnation: int
    number: int
    unspent: int
    drawn_at: float
    deadline: float
    is_settled: bool = True
    unreported: list[float] = attrs.field(factory=list)


@attrs.frozen
class Settlement:
    """Numbers of spent and unused tokens of a batch, to be reported to its holder."""

    incarnation: int
    batch: int
    spent: int
    unused: int


class DrawnTokens:
    """Drawn tokens of one team at one node.

    Not thread-safe: the caller must hold a lock around each method call.

    Attributes:
        waiting: Number of calls that wait for a draw; the caller keeps it up to date.
    """

    def __init__(self, now: float) -> None:
        """Starts without tokens; `now` is monotonic time in seconds."""
        self._batches: list[_Batch] = []
        self._demand = decay.DecayingRate(DEMAND_WINDOW_S, now)
        self._unreported_calls = 0
        self._horizon_s = MAX_HORIZON_S
        self.waiting = 0

    @property
    def is_empty(self) -> bool:
        """True if no drawn token is left to spend or to report, and no call waits for one."""
        return not self._batches and not self.waiting

    def next_settlement_at(self) -> float:
        """Returns the monotonic time in seconds from which a settlement is due, else infinity."""
        return min((self._settlement_at(batch) for batch in self._batches), default=INFINITY_S)

    def configure(self, rate: float, burst: float) -> None:
        """Sets the horizon, the seconds of demand for which tokens are drawn ahead.

        It is limited to a fraction of the time in which the rate fills the burst, so that tokens
        held by idle nodes do not use up the burst.
        """
        fill_s = burst / rate if rate > 0.0 else MAX_HORIZON_S
        self._horizon_s = max(MIN_HORIZON_S, min(MAX_HORIZON_S, HORIZON_FRACTION * fill_s))

    def record_demand(self, now: float) -> None:
        """Counts a call that needs a token."""
        self._demand.record(now)
        self._unreported_calls += 1

    def pop_calls(self) -> int:
        """Returns the number of calls that needed a token since this was last called."""
        calls, self._unreported_calls = self._unreported_calls, 0
        return calls

    def restore_calls(self, calls: int) -> None:
        """Counts calls again whose number did not reach a holder."""
        self._unreported_calls += calls

    def take(self, now: float, requested_at: float) -> bool:
        """Spends the token that expires first; returns False if there is none.

        Args:
            now: Monotonic time in seconds.
            requested_at: Monotonic time at which the call requested the token; `give_back`
                identifies the token by it.
        """
        self._drop_expired(now)
        for batch in self._batches:
            if batch.unspent:
                batch.unspent -= 1
                batch.unreported.append(requested_at)
                return True
        return False

    def available_tokens(self, now: float) -> int:
        """Returns the number of tokens that can be spent now."""
        self._drop_expired(now)
        return sum(batch.unspent for batch in self._batches)

    def give_back(self, now: float, requested_at: float) -> bool:
        """Undoes a `take`.

        Returns:
            False if the batch has expired or the token was already reported to the holder as
            spent; the token then stays spent.
        """
        self._drop_expired(now)
        for batch in self._batches:
            if requested_at in batch.unreported:
                batch.unreported.remove(requested_at)
                batch.unspent += 1
                return True
        return False

    def add(
        self,
        holder: str,
        incarnation: int,
        number: int,
        count: int,
        drawn_at: float,
        lifetime_s: float,
    ) -> None:
        """Adds tokens drawn ahead, which can be spent for `lifetime_s` seconds from `drawn_at`."""
        self._add(_Batch(holder, incarnation, number, count, drawn_at, drawn_at + lifetime_s))

    def add_for_waiting(
        self, holder: str, incarnation: int, count: int, drawn_at: float, lifetime_s: float
    ) -> None:
        """Adds tokens for waiting calls; the holder is not told whether they were spent."""
        deadline = drawn_at + lifetime_s
        self._add(_Batch(holder, incarnation, 0, count, drawn_at, deadline, is_settled=False))

    def _add(self, batch: _Batch) -> None:
        self._batches.append(batch)
        self._batches.sort(key=lambda item: item.deadline)

    def wanted_for_waiting(self, now: float) -> int:
        """Returns how many of the wanted tokens calls wait for."""
        return min(self.wanted(now), max(0, self.waiting - self.available_tokens(now)))

    def wanted(self, now: float) -> int:
        """Returns the number of tokens to draw now."""
        available = self.available_tokens(now)
        expected_demand = self._demand.rate(now) * self._horizon_s
        if self.waiting <= available and available >= expected_demand * LOW_WATER_RATIO:
            return 0
        return max(0, math.floor(expected_demand) + self.waiting - available)

    def pop_settlements(self, holder: str, now: float, include_not_due: bool) -> list[Settlement]:
        """Returns the settlements to send to a holder and removes them from this object.

        Args:
            holder: Host of the holder.
            now: Monotonic time in seconds.
            include_not_due: Whether to include settlements that could be sent later; set it if a
                request to this holder is sent anyway.
        """
        self._drop_expired(now)
        settlements = []
        for batch in self._batches:
            if batch.holder != holder or not batch.is_settled:
                continue
            if not include_not_due and not self._is_settlement_due(batch, now):
                continue
            unused = batch.unspent if now >= self._keep_until(batch) else 0
            spent = len(batch.unreported)
            if spent or unused:
                batch.unspent -= unused
                batch.unreported.clear()
                settlements.append(Settlement(batch.incarnation, batch.number, spent, unused))
        self._batches = [batch for batch in self._batches if batch.unspent or batch.unreported]
        return settlements

    def mark_all_for_return(self) -> None:
        """Makes all unspent tokens due for return at the next `pop_settlements`."""
        for batch in self._batches:
            batch.drawn_at = -INFINITY_S

    def holders_due(self, now: float) -> set[str]:
        """Returns the hosts of the holders for which a settlement is due."""
        self._drop_expired(now)
        return {batch.holder for batch in self._batches if self._is_settlement_due(batch, now)}

    def _is_settlement_due(self, batch: _Batch, now: float) -> bool:
        return now >= self._settlement_at(batch)

    def _settlement_at(self, batch: _Batch) -> float:
        """Returns the time from which spent or unneeded tokens of a batch are to be reported."""
        if not batch.is_settled:
            return INFINITY_S
        keep_until = self._keep_until(batch)
        if batch.unreported:
            return min(keep_until, batch.unreported[0] + self._horizon_s)
        return keep_until if batch.unspent else INFINITY_S

    def _keep_until(self, batch: _Batch) -> float:
        """Returns the time from which the unspent tokens of a batch are to be returned."""
        lifetime_s = batch.deadline - batch.drawn_at
        return batch.drawn_at + min(
            KEEP_HORIZONS * self._horizon_s, KEEP_LIFETIME_FRACTION * lifetime_s
        )

    def _drop_expired(self, now: float) -> None:
        if self._batches and self._batches[0].deadline <= now:
            self._batches = [batch for batch in self._batches if batch.deadline > now]
