"""This host's share of one team's quota, with its tokens."""

import attrs

from bergamotridge.callers import lending_bucket
from bergamotridge.operators import operator_text
from bergamotridge.store import holding, quota


@attrs.define(eq=False)
class TeamShare:
    """One team's rate and burst, this host's share of them, and the share's tokens.

    Attributes:
        team: The team as the configuration in force has it.
        holding: This host's share of the quota.
        lending: Tokens of the share.
        applied_share: Usable parts and end of the predecessor's loans for which `lending` was last
            resized; -1 parts if it has to be resized in any case.
    """

    team: operator_text.Team
    holding: holding.Holding
    lending: lending_bucket.LendingBucket
    applied_share: tuple[int, float] = (-1, 0.0)

    def configure(self, team: operator_text.Team) -> None:
        """Sets the team's rate and burst; they take effect when the share is next applied."""
        if team is not self.team:
            self.team = team
            self.applied_share = (-1, 0.0)

    def apply_share_if_changed(self, now: float) -> None:
        """Resizes the bucket to the share usable now unless it already has that size."""
        if (self.holding.usable(now), self.holding.predecessor_loans_end) != self.applied_share:
            self.apply_share(now)

    def apply_share(self, now: float) -> None:
        """Resizes the bucket to the share that is usable now."""
        parts = self.holding.usable(now)
        fraction = parts / quota.PARTS
        self.applied_share = (parts, self.holding.predecessor_loans_end)
        self.lending.resize(
            self.team.rate * fraction,
            self.team.burst * fraction,
            self.holding.predecessor_loans_end,
            now,
        )
