"""Divides the requests that a dependency admits fairly between the teams of a class."""

import attrs

from bergamotridge.upstreams import demand_estimate
from bergamotridge.util import decay

# A node gets a request of a small team every few seconds, whose rate must not look like that of a
# large one at that moment.
RATE_WINDOW_S = 5.0
MAX_TEAMS = 256  # With more, those whose rate is negligible are forgotten.
NEGLIGIBLE_PER_S = 0.01


@attrs.define
class _Team:
    """Rate of the requests of one team, and the weight of its fair share."""

    rate: decay.DecayingRate
    weight: float


class FairTeams:
    """The teams whose requests of one class need one dependency, as one node sees them.

    A share of all requests is divided by max-min fairness: each team gets as much as it asks for,
    up to a level that is the same for all in proportion to their weights. So a team that sends many
    times its usual takes from its own share first. Not thread-safe: use it on one event loop.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _Team] = {}

    def record(self, team: str, weight: float, now: float) -> None:
        """Counts a request of a team at `now` (monotonic seconds), admitted or not."""
        known = self._teams.get(team)
        if known is None:
            self._forget_teams(now)
            known = self._teams[team] = _Team(decay.DecayingRate(RATE_WINDOW_S, now), weight)
        known.weight = weight
        known.rate.record(now)

    def share_of(self, team: str, share: float, now: float) -> float:
        """Returns the share of the requests of a team to admit.

        Args:
            team: The team, which has been recorded.
            share: Share of the requests of all teams to admit.
            now: Monotonic time in seconds.
        """
        if not 0.0 < share < 1.0:
            return share
        demands = [(known.rate.rate(now), known.weight) for known in self._teams.values()]
        level = demand_estimate.fair_level(demands, share * sum(rate for rate, _ in demands))
        own = self._teams[team]
        return min(1.0, own.weight * level / own.rate.rate(now))

    def _forget_teams(self, now: float) -> None:
        if len(self._teams) >= MAX_TEAMS:
            self._teams = {
                name: known
                for name, known in self._teams.items()
                if known.rate.rate(now) > NEGLIGIBLE_PER_S
            }
