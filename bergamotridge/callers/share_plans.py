"""Decides what to do about the quota shares of this host."""

from collections.abc import Collection, Mapping, Sequence

from bergamotridge.callers import holder_choice, quota_holder
from bergamotridge.operators import operator_text

# What to do about the shares of the teams of each group, by group.
Plans = Mapping[str, Sequence[quota_holder.TeamPlan]]


class SharePlanner:
    """Plans by the choice of holders; reads and writes no share itself."""

    def __init__(self, choice: holder_choice.HolderChoice) -> None:
        """Plans by `choice`, which others update."""
        self._choice = choice

    def plan(
        self,
        teams: Mapping[str, operator_text.Team],
        held_teams: Mapping[str, operator_text.Team],
        predecessor_teams: Sequence[str],
        now: float,
    ) -> Plans:
        """Returns what to do about the shares of this host.

        A share of a team that is no longer configured is given up.

        Args:
            teams: The configured teams, by name.
            held_teams: Those of which this host holds a share, as they were configured then.
            predecessor_teams: Names of those of which an earlier process on this host left one.
            now: Boot time in seconds.
        """
        is_settled = self._choice.is_settled
        plans: dict[str, list[quota_holder.TeamPlan]] = {}
        for name, team in {**held_teams, **teams}.items():
            is_held = name in held_teams or name in predecessor_teams
            # A share that an earlier process on this host left is taken over without waiting.
            should_hold = (self._choice.may_join(name, now) and (is_settled or is_held)) or (
                name in predecessor_teams and self._choice.is_holder(name)
            )
            if should_hold or is_held:
                plan = quota_holder.TeamPlan(team, should_hold, self._choice.holder_count(name))
                plans.setdefault(self._choice.group_of(name), []).append(plan)
        return plans

    def plan_return(self, held_teams: Mapping[str, operator_text.Team]) -> Plans:
        """Returns the plans to give up the shares of all teams in `held_teams`."""
        plans: dict[str, list[quota_holder.TeamPlan]] = {}
        for name, team in held_teams.items():
            plan = quota_holder.TeamPlan(team, chosen=False, holders=0)
            plans.setdefault(self._choice.group_of(name), []).append(plan)
        return plans

    def has_pending_change(self, teams: Collection[str], shares: Mapping[str, float]) -> bool:
        """Returns whether this host still has to join or leave a quota.

        Args:
            teams: Names of the configured teams.
            shares: Shares of this host as last read, by team.
        """
        for team in teams:
            share = shares.get(team)
            if not self._choice.is_holder(team):
                if share is not None:
                    return True
            elif not share:
                return True
        return False

    def of_group(self, teams: Collection[str], group: str) -> Sequence[str]:
        """Returns the names of the teams that belong to a group."""
        return [name for name in teams if self._choice.group_of(name) == group]
