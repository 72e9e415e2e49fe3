"""Token bucket of one holder's share of a team's quota, spent locally or lent to other nodes."""

import collections
import heapq
import itertools

import attrs

from bergamotridge.callers import bucket
from bergamotridge.util import decay

DEMAND_WINDOW_S = 5.0
DRAWER_EXPIRY_S = 10.0
# Limits the draws that get too few tokens, summed over all drawing nodes.
MAX_EMPTY_DRAWS_PER_S = 30.0
EMPTY_DRAWS_WINDOW_S = 1.0
MIN_RETRY_S = 0.02
UNDO_WINDOW_S = 10.0
# One draw is granted at most the level divided by the number of drawing nodes, or by this number
# if there are more nodes.
MAX_FAIR_SHARE_DIVISOR = 4


@attrs.frozen(order=True)
class _Loan:
    """Tokens that were lent together until a time.

    Attributes:
        deadline: Monotonic time in seconds from which they count as spent.
        batch: Number of their batch, 0 for tokens that were lent to waiting calls.
        tokens: Their number.
    """

    deadline: float
    batch: int
    tokens: int


@attrs.frozen
class Grant:
    """Tokens lent ahead to a drawing node.

    Attributes:
        batch: Number of the batch, which settlements refer to; 0 if no token was granted.
        granted: Number of tokens lent.
        retry_after_s: Seconds after which another draw may succeed; 0 if all wanted tokens were
            granted.
    """

    batch: int
    granted: int
    retry_after_s: float


class LendingBucket:
    """Tokens of one team at one holder.

    Not thread-safe: the caller must hold a lock around each method call.
    """

    def __init__(self, now: float, loan_s: float, max_immediate_loan_s: float) -> None:
        """Creates a bucket of rate and burst 0; `resize` sets both.

        Args:
            now: Monotonic time in seconds.
            loan_s: Seconds after which a token that was lent ahead and not settled counts as spent.
            max_immediate_loan_s: Longest time in seconds after which a token that was lent for a
                waiting call counts as spent.
        """
        self._bucket = bucket.TokenBucket(0.0, 0.0, now, undo_window_s=UNDO_WINDOW_S)
        self._loan_s = loan_s
        self._max_immediate_loan_s = max_immediate_loan_s
        # Tokens that were lent ahead and have not been settled, by batch.
        self._outstanding: dict[int, int] = {}
        self._loans: list[_Loan] = []
        self._batch_numbers = itertools.count(1)
        # Time of the latest draw of each node, by host.
        self._drawers: dict[str, float] = {}
        self._empty_draws = decay.DecayingRate(EMPTY_DRAWS_WINDOW_S, now)
        self._demand = decay.DecayingRate(DEMAND_WINDOW_S, now)
        self._taken_at: collections.deque[float] = collections.deque()

    @property
    def lent_ahead(self) -> int:
        """Tokens that other nodes have drawn ahead and may still spend."""
        return self._bucket.lent_ahead

    @property
    def lent_to_waiting(self) -> int:
        """Tokens that were lent for calls which wait at other nodes, and may still be spent."""
        return self._bucket.lent_to_waiting

    @property
    def level(self) -> float:
        """Tokens available to spend or lend, as of the last refill."""
        return self._bucket.level

    def available_tokens(self, now: float) -> float:
        """Returns the tokens that can be spent or lent now."""
        self._expire_loans_and_drawers(now)
        self._bucket.refill(now)
        return self._bucket.level

    def resize(self, rate: float, burst: float, predecessor_loans_end: float, now: float) -> None:
        """Sets this holder's part of the team's rate and burst, effective from `now`.

        Until `predecessor_loans_end`, capacity is reserved for tokens that an earlier process on
        this host may have lent.
        """
        self._expire_loans_and_drawers(now)
        self._bucket.refill(now)
        immediate_loans_end = predecessor_loans_end - self._loan_s + self._max_immediate_loan_s
        self._bucket.reserve_until(predecessor_loans_end, immediate_loans_end)
        if (rate, burst) != (self._bucket.rate, self._bucket.burst):
            self._bucket.resize(rate, burst, now)

    def take(self, now: float) -> bool:
        """Spends one token for a call at this host; returns False if there is none."""
        self._demand.record(now)
        self._settle_expired_loans(now)
        if not self._bucket.take(now):
            return False
        self._taken_at.append(now)
        while self._taken_at[0] < now - UNDO_WINDOW_S:
            self._taken_at.popleft()
        return True

    def give_back(self, now: float, taken_at: float) -> None:
        """Undoes a `take` at this host; a token that was not taken here is ignored."""
        if taken_at in self._taken_at:
            self._taken_at.remove(taken_at)
            self._bucket.give_back(now, taken_at)

    def lend_to_waiting(self, waiting: int, loan_s: float, now: float) -> int:
        """Lends tokens to another node for calls that wait there; they are never settled.

        They count as spent after a time as short as such a call may wait, so that a share of a few
        tokens is not used up by tokens of which only the settlement is missing.

        Args:
            waiting: Number of waiting calls.
            loan_s: Seconds after which the tokens count as spent, cut to the longest allowed time.
            now: Monotonic time in seconds.

        Returns:
            Number of tokens lent.
        """
        self._expire_loans_and_drawers(now)
        granted = self._bucket.lend_to_waiting(min(waiting, self._fair_share(now)), now)
        if granted:
            deadline = now + min(loan_s, self._max_immediate_loan_s)
            heapq.heappush(self._loans, _Loan(deadline, 0, granted))
        return granted

    def lend(self, drawer: str, wanted: int, calls: int, now: float) -> Grant:
        """Lends up to `wanted` tokens ahead to another node.

        Args:
            drawer: Host of the drawing node.
            wanted: Number of tokens that the node requests.
            calls: Calls that needed tokens at that node since its last draw, as far as they count
                towards this holder's demand.
            now: Monotonic time in seconds.
        """
        self._expire_loans_and_drawers(now)
        self._drawers[drawer] = now
        self._demand.record(now, calls)
        if wanted <= 0:
            return Grant(0, 0, 0.0)
        granted = self._bucket.lend(min(wanted, self._fair_share(now)), now)
        batch = 0
        if granted:
            batch = next(self._batch_numbers)
            self._outstanding[batch] = granted
            heapq.heappush(self._loans, _Loan(now + self._loan_s, batch, granted))
        return Grant(batch, granted, 0.0 if granted == wanted else self.record_empty_draw(now))

    def _fair_share(self, now: float) -> int:
        """Returns how many tokens one draw may be granted, so that other nodes get some too."""
        self._bucket.refill(now)
        drawers = max(1, min(len(self._drawers), MAX_FAIR_SHARE_DIVISOR))
        return max(1, int(self._bucket.level / drawers))

    def settle(self, batch: int, spent: int, unused: int, now: float) -> None:
        """Records which lent tokens were spent and takes the unused ones back.

        A settlement of an expired batch, or of more tokens than its loan has outstanding, is
        ignored.
        """
        self._expire_loans_and_drawers(now)
        outstanding = self._outstanding.get(batch, 0)
        if spent + unused > outstanding:
            return
        self._outstanding[batch] = outstanding - spent - unused
        self._bucket.settle(spent, unused, now)

    def demand(self, now: float) -> float:
        """Returns the calls per second that need tokens at this host and the drawing nodes."""
        return self._demand.rate(now)

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a token can be taken."""
        return self._bucket.wait_s(now)

    def record_empty_draw(self, now: float) -> float:
        """Counts a draw that got too few tokens; returns the seconds until another may get some."""
        self._empty_draws.record(now)
        too_many = self._empty_draws.rate(now) > MAX_EMPTY_DRAWS_PER_S
        spread_s = len(self._drawers) / MAX_EMPTY_DRAWS_PER_S if too_many else 0.0
        return max(MIN_RETRY_S, spread_s, min(1.0, self._bucket.wait_s(now)))

    def _expire_loans_and_drawers(self, now: float) -> None:
        self._settle_expired_loans(now)
        cutoff = now - DRAWER_EXPIRY_S
        expired_hosts = [host for host, drawn_at in self._drawers.items() if drawn_at < cutoff]
        for host in expired_hosts:
            del self._drawers[host]

    def _settle_expired_loans(self, now: float) -> None:
        """Counts the tokens of expired loans as spent, each from the time at which it expired.

        Until then a loan limits how many tokens may be created, from then on it doesn't.
        """
        while self._loans and now >= self._loans[0].deadline:
            loan = heapq.heappop(self._loans)
            if loan.batch:
                self._bucket.settle(self._outstanding.pop(loan.batch), 0, loan.deadline)
            else:
                self._bucket.end_loan_to_waiting(loan.tokens, loan.deadline)
