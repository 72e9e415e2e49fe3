"""Quota shares of one host: stored in the platform, spent locally or lent to other nodes."""

import math
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
import logbook

from bergamotridge import errors, malformed
from bergamotridge.callers import lending_bucket, team_share
from bergamotridge.nodes import quota_pb2
from bergamotridge.operators import operator_text
from bergamotridge.store import holding, objects, position, quota, share_size

MAX_ADJUST_ATTEMPTS = 4
MILLIS_PER_S = 1000
NOT_HOLDER_RETRY_MS = 1000

_log = logbook.Logger("quota")


@attrs.frozen
class TeamPlan:
    """What a host should do about its share of one team's quota.

    Attributes:
        team: The team as the configuration in force has it.
        chosen: Whether the host should be a holder.
        holders: Number of holders that the team should have in the fleet.
    """

    team: operator_text.Team
    chosen: bool
    holders: int


class QuotaHolder:
    """All quota shares of one process; thread-safe."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        failure_domain: str,
        client: objects.Objects,
        timings: holding.Timings,
        clock: Callable[[], float],
        restored_epoch: Callable[[], int | None] = lambda: None,
        on_malformed: malformed.OnMalformed = malformed.ignore,
        teams: Callable[[], Mapping[str, operator_text.Team]] = dict,
    ) -> None:
        """Starts without shares; this process must already have bound the host's control port.

        Args:
            host: Name of this host.
            incarnation: Start time of this process in milliseconds.
            failure_domain: Failure domain of this host.
            client: Client of the platform.
            timings: Time limits of holders.
            clock: Returns monotonic time in seconds; read again after each response of the
                platform.
            restored_epoch: Returns the epoch of the platform's store if it began with a restoration
                so lately that shares lost in it may still be in use, else None.
            on_malformed: Called with a report of each quota object that cannot be read.
            teams: Returns the teams of the configuration in force. A share that is held is used
                with their rates and bursts at once, whatever the platform answers.
        """
        self._teams = teams
        self._restored_epoch = restored_epoch
        self._on_malformed = on_malformed
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._client = client
        self._timings = timings
        self._clock = clock
        self._started_at = clock()
        self._lock = threading.Lock()
        self._states: dict[str, team_share.TeamShare] = {}

    def held_teams(self) -> Mapping[str, operator_text.Team]:
        """Returns the teams of which this host holds a share, by name."""
        with self._lock:
            return {name: state.team for name, state in self._states.items() if state.holding.share}

    def shares(self, now: float) -> dict[str, float]:
        """Returns the fraction of the quota that this host may use now, by held team."""
        with self._lock:
            return {
                team: state.holding.usable(now) / quota.PARTS
                for team, state in self._states.items()
                if state.holding.share
            }

    def tokens(self, now: float) -> dict[str, float]:
        """Returns the tokens that calls at this host could spend now, by team."""
        with self._lock:
            for team in self._states:
                self._configured_state(team).apply_share(now)
            return {
                team: state.lending.available_tokens(now) for team, state in self._states.items()
            }

    def find_predecessor_teams(self) -> list[str]:
        """Returns the names of the teams whose stored quota has a share of this host.

        Before this process has joined a quota, such a share was left by an earlier process.

        Quota objects that cannot be read are left out.

        Raises:
            PlatformError: The platform cannot be reached.
        """
        return [
            team
            for item in self._client.list(quota.KIND, eventual=True).items
            for team in self._find_own_teams(item)
        ]

    def _find_own_teams(self, item: objects.StoredObject) -> list[str]:
        """Returns the teams of a stored group of which this host has a share."""
        try:
            stored = quota.decode_group(item.value)
        except errors.MalformedObjectError as error:
            self._on_malformed(malformed.MalformedEntry(quota.KIND, item.name, error))
            return []
        if self._is_lost(stored, item.version):
            return []
        return [
            team
            for team, team_quota in stored.quotas.items()
            if team_quota.find(self._host) is not None
        ]

    def has_unwritten_shares(self) -> bool:
        """Returns whether a share that a restoration of the platform lost has to be written."""
        with self._lock:
            return any(state.holding.is_unwritten for state in self._states.values())

    def take(self, team: str, now: float) -> bool:
        """Spends one token of this host's share; returns False if there is none."""
        with self._lock:
            state = self._configured_state(team)
            if state is None:
                return False
            state.apply_share_if_changed(now)
            return state.lending.take(now)

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Undoes a `take` of this host's share."""
        with self._lock:
            state = self._configured_state(team)
            if state is not None:
                state.apply_share(now)
                state.lending.give_back(now, taken_at)

    def answer_draw(self, request: quota_pb2.DrawRequest, now: float) -> quota_pb2.DrawResponse:
        """Applies the settlements of another node's draw and returns the tokens granted to it."""
        response = quota_pb2.DrawResponse(
            incarnation=self._incarnation,
            lifetime_ms=int(self._timings.token_lifetime_s * MILLIS_PER_S),
        )
        with self._lock:
            for draw in request.draws:
                response.grants.append(self._grant_tokens(request, draw, now))
        return response

    def adjust(
        self, group: str, plans: Sequence[TeamPlan], known_teams: Iterable[str] = ()
    ) -> None:
        """Reads the quotas of a group and updates this host's shares if an update is due.

        While this host holds all shares that it should, it first reads data that may be outdated,
        as most reads lead to no update. An update is decided on current data, and decided again
        from a new read if it conflicts with another host's.

        Args:
            group: Name of the platform object that stores the quotas.
            plans: What to do about each team of the group in which this host takes part.
            known_teams: Names of the teams of the group that may have had holders before the latest
                restoration of the platform's store; those of the plans are included.

        Raises:
            PlatformError: The platform cannot be reached, or the object cannot be read; the shares
                stay usable until their lease ends.
        """
        states = {plan.team.name: self._update_state(plan.team) for plan in plans}
        known_teams = {*states, *known_teams}
        if all(states[plan.team.name].holding.share and plan.chosen for plan in plans):
            quotas, version = self._read_group(group, known_teams, eventual=True)
            if not self._decide_updates(states, plans, quotas, version):
                return
        for _ in range(MAX_ADJUST_ATTEMPTS):
            quotas, version = self._read_group(group, known_teams)
            updates = self._decide_updates(states, plans, quotas, version)
            if not updates or self._send_updates(group, version, states, quotas, updates):
                return

    def _grant_tokens(
        self, request: quota_pb2.DrawRequest, draw: quota_pb2.TeamDraw, now: float
    ) -> quota_pb2.Grant:
        """Returns the grant for one team; settlements for an earlier process here are ignored."""
        state = self._configured_state(draw.team)
        if state is None or state.holding.share is None:
            return quota_pb2.Grant(team=draw.team, retry_after_ms=NOT_HOLDER_RETRY_MS)
        state.apply_share(now)
        if request.holder_incarnation == self._incarnation:
            for item in draw.settlements:
                state.lending.settle(item.batch, item.spent, item.unused, now)
        loan_s = request.immediate_lifetime_ms / MILLIS_PER_S * (1.0 + holding.CLOCK_DRIFT_FRACTION)
        immediate = state.lending.lend_to_waiting(draw.waiting, loan_s, now)
        grant = state.lending.lend(request.host, draw.wanted - draw.waiting, draw.calls, now)
        retry_after_s = grant.retry_after_s
        if immediate < draw.waiting:
            retry_after_s = state.lending.record_empty_draw(now)
        return quota_pb2.Grant(
            team=draw.team,
            batch=grant.batch,
            granted=grant.granted,
            immediate=immediate,
            retry_after_ms=math.ceil(retry_after_s * MILLIS_PER_S),
        )

    def _configured_state(self, name: str) -> team_share.TeamShare | None:
        """Returns the state of a team with the rate and burst of the configuration in force."""
        state = self._states.get(name)
        if state is not None:
            state.configure(self._teams().get(name, state.team))
        return state

    def _update_state(self, team: operator_text.Team) -> team_share.TeamShare:
        """Returns the state of a team, created if missing, with its rate and burst updated.

        The configuration in force takes precedence over the team's values in the plan, which may
        have been made before a change.
        """
        now = self._clock()
        with self._lock:
            state = self._states.get(team.name)
            if state is None:
                team_holding = holding.Holding(
                    self._host,
                    self._incarnation,
                    self._failure_domain,
                    self._timings,
                    self._started_at,
                )
                bucket = lending_bucket.LendingBucket(
                    now, self._timings.loan_s, self._timings.max_immediate_loan_s
                )
                state = self._states[team.name] = team_share.TeamShare(team, team_holding, bucket)
            state.configure(self._teams().get(team.name, team))
            return state

    def _read_group(
        self, group: str, known_teams: Iterable[str], *, eventual: bool = False
    ) -> tuple[Mapping[str, quota.Quota], position.Position]:
        """Returns the quotas of a group; all parts are reserved if they may have been lost."""
        try:
            item = self._client.get(quota.KIND, group, eventual=eventual)
            stored, version = quota.decode_group(item.value), item.version
        except errors.NotFoundError as error:
            stored, version = quota.Group(), error.version
        if not self._is_lost(stored, version):
            return stored.quotas, version
        reserved = quota.reserve_all(version)
        return dict.fromkeys({*stored.quotas, *known_teams}, reserved), version

    def _is_lost(self, stored: quota.Group, version: position.Position) -> bool:
        """Returns whether shares may be in use that an object lacks since the store was restored.

        Args:
            stored: Content of the object, an empty group if there is none.
            version: Version of the object, whose epoch is that in which it was read.
        """
        if stored.epoch is None:
            return self._restored_epoch() == version.epoch
        return stored.epoch != version.epoch

    def _decide_updates(
        self,
        states: Mapping[str, team_share.TeamShare],
        plans: Sequence[TeamPlan],
        quotas: Mapping[str, quota.Quota],
        version: position.Position,
    ) -> dict[str, holding.QuotaUpdate]:
        """Returns the updates that are due, by team."""
        now = self._clock()
        updates = {}
        with self._lock:
            for plan in plans:
                state = self._configured_state(plan.team.name)
                state.holding.observe(quotas.get(plan.team.name, quota.Quota()), version, now)
                state.apply_share(now)
                decision_inputs = share_size.DecisionInputs(
                    chosen=plan.chosen,
                    holders=plan.holders,
                    rate=state.team.rate,
                    burst=state.team.burst,
                    lent=state.lending.lent_ahead,
                    lent_to_waiting=state.lending.lent_to_waiting,
                    demand=state.lending.demand(now),
                )
                update = state.holding.decide(decision_inputs, now)
                state.apply_share(now)
                if update is not None:
                    updates[plan.team.name] = update
        return updates

    def _send_updates(
        self,
        group: str,
        version_read: position.Position,
        states: Mapping[str, team_share.TeamShare],
        quotas: Mapping[str, quota.Quota],
        updates: Mapping[str, holding.QuotaUpdate],
    ) -> bool:
        """Sends updates to the platform in one write; returns False if it conflicts with another.

        Args:
            group: Name of the platform object.
            version_read: Version of the object on which the updates were decided.
            states: This host's states of the teams.
            quotas: All quotas of the object in that version.
            updates: The updates by team.
        """
        written = {**quotas, **{team: update.quota for team, update in updates.items()}}
        value = quota.encode_group(quota.Group(written, version_read.epoch))
        try:
            version = self._client.put(quota.KIND, group, value, version_read)
        except errors.ConflictError:
            return False
        except errors.PlatformUnavailableError:
            self._record_unknown_outcome(states, updates)
            raise
        if version.epoch != version_read.epoch:
            # Restored in between. Nobody takes the written value for one of the new epoch.
            self._record_unknown_outcome(states, updates)
            return False
        with self._lock:
            now = self._clock()
            for team, update in updates.items():
                states[team].holding.confirm(update, version, now)
                states[team].apply_share(now)
        _log.info(
            "quota shares written to {}, version {}",
            group,
            version,
            extra={
                "parts": {team: update.parts for team, update in updates.items()},
                "reserved": {
                    team: update.quota.reserved.parts
                    for team, update in updates.items()
                    if update.quota.reserved
                },
            },
        )
        return True

    def _record_unknown_outcome(
        self, states: Mapping[str, team_share.TeamShare], updates: Mapping[str, holding.QuotaUpdate]
    ) -> None:
        with self._lock:
            for team, update in updates.items():
                states[team].holding.record_unknown_outcome(update)
                states[team].apply_share(self._clock())
