"""Quota shares of one host: stored in the platform, spent locally or lent to other nodes."""

import math
import threading
from collections.abc import Callable, Collection

import attrs

from bergamotridge import errors
from bergamotridge.callers import lending_bucket
from bergamotridge.nodes import quota_pb2
from bergamotridge.operators import operator_text
from bergamotridge.store import holding, objects, quota

MAX_ADJUST_ATTEMPTS = 4
MILLIS_PER_S = 1000
NOT_HOLDER_RETRY_MS = 1000


@attrs.define(eq=False)
class _TeamState:
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
        """
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._client = client
        self._timings = timings
        self._clock = clock
        self._started_at = clock()
        self._lock = threading.Lock()
        self._states: dict[str, _TeamState] = {}

    def held_teams(self) -> Collection[str]:
        """Returns the names of the teams of which this host holds a share."""
        with self._lock:
            return [team for team, state in self._states.items() if state.holding.share]

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
            for state in self._states.values():
                state.apply_share(now)
            return {
                team: state.lending.available_tokens(now) for team, state in self._states.items()
            }

    def find_predecessor_teams(self) -> list[str]:
        """Returns the names of the teams whose stored quota has a share of this host.

        Before this process has joined a quota, such a share was left by an earlier process.

        Raises:
            PlatformError: The platform cannot be reached, or a quota object is malformed.
        """
        teams = []
        for item in self._client.list(quota.KIND).items:
            share = quota.decode(item.value).find(self._host)
            if share is not None:
                teams.append(item.name)
        return teams

    def take(self, team: str, now: float) -> bool:
        """Spends one token of this host's share; returns False if there is none."""
        with self._lock:
            state = self._states.get(team)
            if state is None:
                return False
            state.apply_share_if_changed(now)
            return state.lending.take(now)

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Undoes a `take` of this host's share."""
        with self._lock:
            state = self._states.get(team)
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

    def adjust(self, team: operator_text.Team, chosen: bool, holders: int) -> None:
        """Reads a team's quota object and updates this host's share in it if an update is due.

        An update that conflicts with another host's is decided again from a new read.

        Args:
            team: The team as the configuration in force has it.
            chosen: Whether this host should be a holder.
            holders: Number of holders that the team should have in the fleet.

        Raises:
            PlatformError: The platform cannot be reached; the share stays usable until its lease
                ends.
        """
        state = self._update_state(team)
        for _ in range(MAX_ADJUST_ATTEMPTS):
            value, version = self._read_quota(team.name)
            write = self._decide_write(state, value, version, chosen, holders)
            if write is None or self._send_write(state, write):
                return

    def _grant_tokens(
        self, request: quota_pb2.DrawRequest, draw: quota_pb2.TeamDraw, now: float
    ) -> quota_pb2.Grant:
        """Returns the grant for one team; settlements for an earlier process here are ignored."""
        state = self._states.get(draw.team)
        if state is None or state.holding.share is None:
            return quota_pb2.Grant(team=draw.team, retry_after_ms=NOT_HOLDER_RETRY_MS)
        state.apply_share(now)
        if request.holder_incarnation == self._incarnation:
            for item in draw.settlements:
                state.lending.settle(item.batch, item.spent, item.unused, now)
        grant = state.lending.lend(request.host, draw.wanted, draw.demand, now)
        return quota_pb2.Grant(
            team=draw.team,
            batch=grant.batch,
            granted=grant.granted,
            retry_after_ms=math.ceil(grant.retry_after_s * MILLIS_PER_S),
        )

    def _update_state(self, team: operator_text.Team) -> _TeamState:
        """Returns the state of a team, created if missing, with its rate and burst updated."""
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
                bucket = lending_bucket.LendingBucket(now, self._timings.loan_s)
                state = self._states[team.name] = _TeamState(team, team_holding, bucket)
            state.team = team
            state.applied_share = (-1, 0.0)
            return state

    def _read_quota(self, team: str) -> tuple[quota.Quota, int]:
        try:
            stored = self._client.get(quota.KIND, team)
        except errors.NotFoundError:
            return quota.Quota(), 0
        return quota.decode(stored.value), stored.version

    def _decide_write(
        self, state: _TeamState, value: quota.Quota, version: int, chosen: bool, holders: int
    ) -> holding.QuotaUpdate | None:
        now = self._clock()
        with self._lock:
            state.holding.observe(value, version, now)
            state.apply_share(now)
            decision_inputs = holding.DecisionInputs(
                chosen=chosen,
                holders=holders,
                burst=state.team.burst,
                lent=state.lending.lent,
                demand=state.lending.demand(now),
            )
            write = state.holding.decide(decision_inputs, now)
            state.apply_share(now)
            return write

    def _send_write(self, state: _TeamState, write: holding.QuotaUpdate) -> bool:
        """Sends an update to the platform; returns False if it conflicts with another."""
        try:
            version = self._client.put(
                quota.KIND, state.team.name, quota.encode(write.quota), write.version
            )
        except errors.ConflictError:
            return False
        except errors.PlatformUnavailableError:
            with self._lock:
                state.holding.record_unknown_outcome(write)
                state.apply_share(self._clock())
            raise
        with self._lock:
            now = self._clock()
            state.holding.confirm(write, version, now)
            state.apply_share(now)
        return True
