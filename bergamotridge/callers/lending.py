"""What a holder does with its share of a team's tokens: spends them here or lends them to nodes."""

import collections
import itertools

import attrs

from bergamotridge.callers import bucket
from bergamotridge.util import decay

DEMAND_WINDOW_S = 5.0
DRAWER_MEMORY_S = 10.0
DRAWS_PER_S = 30.0  # Draws that a holder takes while it has no tokens, over all drawing nodes.
LEAST_RETRY_S = 0.02
UNDO_WINDOW_S = 10.0
MOST_SHARERS = 4


@attrs.define
class _Loan:
    """Tokens of one batch that have not been settled."""

    left: int
    deadline: float


@attrs.frozen
class _Drawer:
    """What a drawing node last said."""

    demand: float
    seen: float


@attrs.frozen
class Grant:
    """Answer to one draw.

    Attributes:
        batch: Number of the batch, for settlements.
        granted: Tokens lent.
        retry_after_s: Time after which another draw is worth while; 0 if all were granted.
    """

    batch: int
    granted: int
    retry_after_s: float


class Lending:
    """Tokens of one team at one holder. The caller holds a lock around each method."""

    def __init__(self, now: float, loan_s: float) -> None:
        """Starts empty.

        Args:
            now: Monotonic time in seconds.
            loan_s: Seconds after which a lent token that was not settled counts as spent.
        """
        self._bucket = bucket.TokenBucket(0.0, 0.0, now, undo_window_s=UNDO_WINDOW_S)
        self._loan_s = loan_s
        self._loans: dict[int, _Loan] = {}
        self._batches = itertools.count(1)
        self._drawers: dict[str, _Drawer] = {}
        self._local = decay.DecayingRate(DEMAND_WINDOW_S, now)
        self._taken: collections.deque[float] = collections.deque()

    @property
    def lent(self) -> int:
        """Tokens that other nodes hold and may still spend."""
        return self._bucket.lent

    @property
    def level(self) -> float:
        """Tokens at hand as of the last decision."""
        return self._bucket.level

    def at_hand(self, now: float) -> float:
        """Returns the tokens that could be spent or lent now."""
        self._expire(now)
        self._bucket.refill(now)
        return self._bucket.level

    def resize(self, rate: float, burst: float, settled_from: float, now: float) -> None:
        """Sets this holder's part of rate and burst from now on.

        Before `settled_from`, room is kept for the loans of a predecessor.
        """
        self._expire(now)
        self._bucket.refill(now)
        self._bucket.reserve_until(settled_from)
        if (rate, burst) != (self._bucket.rate, self._bucket.burst):
            self._bucket.resize(rate, burst, now)

    def take(self, now: float) -> bool:
        """Spends one token for a call at this host."""
        self._local.note(now)
        self._settle_loans(now)
        if not self._bucket.take(now):
            return False
        self._taken.append(now)
        while self._taken[0] < now - UNDO_WINDOW_S:
            self._taken.popleft()
        return True

    def give_back(self, now: float, taken_at: float) -> None:
        """Undoes a take at this host; anything that was not taken here is ignored."""
        if taken_at in self._taken:
            self._taken.remove(taken_at)
            self._bucket.give_back(now, taken_at)

    def lend(self, drawer: str, wanted: int, demand: float, now: float) -> Grant:
        """Lends up to `wanted` tokens to another node.

        Args:
            drawer: Host of the drawing node.
            wanted: Tokens it asks for.
            demand: Calls per second that ask it for tokens, as far as they count here.
            now: Monotonic time in seconds.
        """
        self._expire(now)
        self._drawers[drawer] = _Drawer(demand, now)
        if wanted <= 0:
            return Grant(0, 0, 0.0)
        self._bucket.refill(now)
        fair = max(1, int(self._bucket.level / min(len(self._drawers), MOST_SHARERS)))
        granted = self._bucket.lend(min(wanted, fair), now)
        batch = 0
        if granted:
            batch = next(self._batches)
            self._loans[batch] = _Loan(granted, now + self._loan_s)
        return Grant(batch, granted, 0.0 if granted == wanted else self._retry_after(now))

    def settle(self, batch: int, spent: int, unused: int, now: float) -> None:
        """Takes note of what became of lent tokens; a batch that has expired is ignored."""
        self._expire(now)
        loan = self._loans.get(batch)
        if loan is None or spent + unused > loan.left:
            return
        loan.left -= spent + unused
        if not loan.left:
            del self._loans[batch]
        self._bucket.settle(spent, unused, now)

    def demand(self, now: float) -> float:
        """Returns the calls per second that ask for tokens here and at the drawing nodes."""
        return self._local.rate(now) + sum(drawer.demand for drawer in self._drawers.values())

    def wait_s(self, now: float) -> float:
        """Returns the seconds until the next token is created."""
        return self._bucket.wait_s(now)

    def _retry_after(self, now: float) -> float:
        spread = len(self._drawers) / DRAWS_PER_S
        return max(LEAST_RETRY_S, spread, min(1.0, self._bucket.wait_s(now)))

    def _expire(self, now: float) -> None:
        # Loans have equal lifetimes, so the oldest come first.
        self._settle_loans(now)
        stale = [
            host for host, drawer in self._drawers.items() if drawer.seen < now - DRAWER_MEMORY_S
        ]
        for host in stale:
            del self._drawers[host]

    def _settle_loans(self, now: float) -> None:
        while self._loans:
            batch, loan = next(iter(self._loans.items()))
            if now < loan.deadline:
                break
            del self._loans[batch]
            self._bucket.settle(loan.left, 0, now)
