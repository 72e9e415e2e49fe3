"""The hosts that should hold the quota of each team, as teams and members change."""

import collections
import math
from collections.abc import Mapping, Sequence

from bergamotridge.nodes import holders, record
from bergamotridge.operators import operator_text
from bergamotridge.store import quota

# Growth of the fleet within `join_after_s` above which its members are still being discovered.
# Hosts that are chosen until then would take shares only to return them.
MAX_SETTLED_GROWTH_FACTOR = 1.2

# Holders of a team by failure domain.
ChosenHolders = Mapping[str, Sequence[record.UpstreamRecord]]


class HolderChoice:
    """Holders of all teams with a limited rate, and whether this host is one of them.

    One thread calls `update` and one thread `may_join`; any thread may call the other methods.
    """

    def __init__(
        self, host: str, failure_domain: str, per_domain: int, groups: int, join_after_s: float
    ) -> None:
        """Starts without teams.

        Args:
            host: Name of this host.
            failure_domain: Failure domain of this host.
            per_domain: As in `holders.choose_holders`.
            groups: Number of groups among which the quotas of all teams are divided.
            join_after_s: Seconds for which a host must be chosen before it takes a share.
        """
        self._host = host
        self._failure_domain = failure_domain
        self._per_domain = per_domain
        self._groups = groups
        self._join_after_s = join_after_s
        self._by_team: Mapping[str, ChosenHolders] = {}
        self._chosen_since: dict[str, float] = {}
        # What the holders were last chosen from, to choose again only if it has changed.
        self._last_teams: Mapping[str, operator_text.Team] = {}
        self._last_members: tuple[tuple[object, ...], ...] = ()
        self._fleet_sizes: collections.deque[tuple[float, int]] = collections.deque()
        self._is_settled = False

    @property
    def by_team(self) -> Mapping[str, ChosenHolders]:
        """The holders of each team."""
        return self._by_team

    @property
    def is_settled(self) -> bool:
        """Whether the fleet had grown only a little in `join_after_s`, at the last update."""
        return self._is_settled

    def update(
        self,
        teams: Mapping[str, operator_text.Team],
        members: Sequence[record.UpstreamRecord],
        now: float,
    ) -> bool:
        """Chooses the holders again if the teams or the members have changed.

        Args:
            teams: Teams of the configuration in force.
            members: Records of all known hosts.
            now: Monotonic time in seconds.

        Returns:
            Whether they were chosen again.
        """
        self._record_fleet_size(len(members), now)
        identities = tuple(
            (member.host, member.incarnation, member.state, member.control_address)
            for member in members
        )
        if teams is self._last_teams and identities == self._last_members:
            return False
        self._last_teams, self._last_members = teams, identities
        self._by_team = self._choose(teams, members)
        return True

    def teams_to_hold(self) -> set[str]:
        """Returns the names of the teams of which this host should be a holder."""
        return {name for name in self._by_team if self.is_holder(name)}

    def is_holder(self, team: str) -> bool:
        """Returns whether this host should be a holder of a team."""
        group = self._by_team.get(team, {}).get(self._failure_domain, ())
        return any(member.host == self._host for member in group)

    def may_join(self, team: str, now: float) -> bool:
        """Returns whether this host has been a chosen holder for at least `join_after_s`."""
        if not self.is_holder(team):
            self._chosen_since.pop(team, None)
            return False
        since = self._chosen_since.setdefault(team, now)
        return now - since >= self._join_after_s

    def holder_count(self, team: str) -> int:
        """Returns the number of holders of a team in all failure domains."""
        return sum(len(group) for group in self._by_team.get(team, {}).values())

    def group_of(self, team: str) -> str:
        """Returns the name of the group that stores the quota of a team."""
        return quota.group_name(team, self._groups)

    def _choose(
        self,
        teams: Mapping[str, operator_text.Team],
        members: Sequence[record.UpstreamRecord],
    ) -> Mapping[str, ChosenHolders]:
        groups = {self.group_of(name) for name in teams}
        ranked_hosts = {group: holders.rank_hosts(group, members) for group in groups}
        return {
            name: holders.choose_holders(team, ranked_hosts[self.group_of(name)], self._per_domain)
            for name, team in teams.items()
            if math.isfinite(team.rate)
        }

    def _record_fleet_size(self, size: int, now: float) -> None:
        """Keeps the sizes of the last `join_after_s` and the latest one before them."""
        self._fleet_sizes.append((now, size))
        cutoff = now - self._join_after_s
        while len(self._fleet_sizes) > 1 and self._fleet_sizes[1][0] <= cutoff:
            self._fleet_sizes.popleft()
        self._is_settled = size <= MAX_SETTLED_GROWTH_FACTOR * self._fleet_sizes[0][1]
