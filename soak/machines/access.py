"""Which team holds which key, and the limits of teams, in one configuration."""

import attrs

from soak.machines import shape


@attrs.frozen
class Limit:
    """Requests that a team may make; a rate of 0 is no limit."""

    rate_per_s: float = 0.0
    burst: int = 0

    def allowance(self, window_s: float) -> float:
        """Returns how many requests of a window are within the limit."""
        return self.rate_per_s * window_s + self.burst if self.rate_per_s else float("inf")


@attrs.frozen
class Access:
    """Keys with the names of the teams that hold them, and the limits of teams by name."""

    holders: dict[str, str] = attrs.Factory(dict)
    limits: dict[str, Limit] = attrs.Factory(dict)

    def hold(self, key: str, team: str) -> "Access":
        """Returns it with a key added for a team, or moved to it."""
        return attrs.evolve(self, holders=self.holders | {key: team})

    def withdraw(self, key: str) -> "Access":
        """Returns it without a key."""
        holders = {name: team for name, team in self.holders.items() if name != key}
        return attrs.evolve(self, holders=holders)

    def limit(self, team: str, limit: Limit) -> "Access":
        """Returns it with the limit of a team changed."""
        return attrs.evolve(self, limits=self.limits | {team: limit})


def make(of: shape.Shape) -> Access:
    """Returns the access of a shape before any change."""
    holders = {key: team.name for team in of.teams for key in team.keys}
    return Access(holders, {team.name: Limit(team.rate_per_s, team.burst) for team in of.teams})
