"""Strategy: the near upstream while it has room, else the less loaded of two random far ones."""

import random
from collections.abc import Mapping, Sequence

import attrs

from bergamotridge.balancing import strategy

SPILL_LOAD_MARGIN = 0.1  # How much lower the load of a far upstream must be than of a near one.
REPORT_TTL_S = 1.0


@attrs.define
class _HostLoad:
    """Load of one host as observed in calls from this node.

    Attributes:
        reported_load: Load in the last report that came with an answer.
        reported_at: When that report came, in monotonic seconds.
        sent: Calls sent to the host since that report.
    """

    reported_load: float = 0.0
    reported_at: float = float("-inf")
    sent: int = 0


class LeastLoaded:
    """Chooses by load alone; implements `strategy.Strategy`.

    The near upstream is the one on the own host or, if there is none, the less loaded of two random
    ones in the own failure domain. It is chosen while its load is below `FULL_LOAD`. Otherwise a
    far upstream, again the less loaded of two random ones, is chosen if its load is lower by more
    than `SPILL_LOAD_MARGIN` or if there is no near upstream. The load is the one last reported with
    an answer plus the calls sent since; the load in the upstream's record is used only if no report
    came in the last `REPORT_TTL_S`.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates a strategy that has observed no load; `rng` draws the upstreams to compare."""
        self._rng = rng
        self._hosts: dict[str, _HostLoad] = {}

    def choose(self, usable: strategy.Split[strategy.Candidate], now: float) -> strategy.Candidate:
        """Returns the upstream to call; all of `usable`, at least one, may be called."""
        best_near = self._less_loaded_of_two(usable.near, now) if usable.near else None
        if best_near is not None and self.load_of(best_near, now) < strategy.FULL_LOAD:
            return best_near
        if not usable.not_near:
            return best_near
        best_far = self._less_loaded_of_two(usable.not_near, now)
        if best_near is None:
            return best_far
        use_far = self.load_of(best_far, now) + SPILL_LOAD_MARGIN < self.load_of(best_near, now)
        return best_far if use_far else best_near

    def load_of(self, item: strategy.Upstream, now: float) -> float:
        """Returns the reported load, or the published one if that is old, plus the calls sent."""
        known = self._host(item.host)
        reported = known.reported_load if now - known.reported_at < REPORT_TTL_S else item.load
        return reported + known.sent / max(1, item.slots)

    def view_of(self, item: strategy.Upstream, now: float) -> strategy.UpstreamView:
        """Returns the load of an upstream; nothing else is known of it."""
        return strategy.UpstreamView(self.load_of(item, now), item.slots)

    def has_recent_report(self, host: str, now: float) -> bool:
        """Returns whether a report of the host came in the last `REPORT_TTL_S`."""
        return now - self._host(host).reported_at < REPORT_TTL_S

    def record_sent(self, item: strategy.Upstream, now: float) -> None:
        """Counts a call that is sent to an upstream."""
        self._host(item.host).sent += 1

    def record_answer(self, host: str, answered: strategy.Answered, now: float) -> None:
        """Takes in the load report that came with an answer, if one did."""
        if answered.report is not None:
            known = self._host(host)
            known.reported_load, known.reported_at, known.sent = answered.report.load, now, 0

    def slowness_by_host(self, now: float) -> Mapping[str, float]:
        """Returns nothing, as this strategy learns no slowness."""
        return {}

    def accepted_by_host(self, now: float) -> Mapping[str, float]:
        """Returns nothing, as this strategy does not learn which upstreams reject calls."""
        return {}

    def _host(self, host: str) -> _HostLoad:
        known = self._hosts.get(host)
        if known is None:
            known = self._hosts[host] = _HostLoad()
        return known

    def _less_loaded_of_two(
        self, items: Sequence[strategy.Candidate], now: float
    ) -> strategy.Candidate:
        count = len(items)
        first = self._rng.randrange(count)
        if count == 1:
            return items[0]
        second = self._rng.randrange(count - 1)
        if second == first:
            second = count - 1
        one, other = items[first], items[second]
        return one if self.load_of(one, now) <= self.load_of(other, now) else other
