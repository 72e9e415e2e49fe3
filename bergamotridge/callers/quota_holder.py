"""The quota shares of one host: kept in the platform, spent here or lent to other nodes."""

import math
import threading
from collections.abc import Callable, Collection

import attrs

from bergamotridge import errors
from bergamotridge.callers import lending
from bergamotridge.nodes import quota_pb2
from bergamotridge.operators import text
from bergamotridge.store import holding, objects, quota

CONFLICT_ATTEMPTS = 4
MILLIS_PER_S = 1000
NOT_HOLDER_RETRY_MS = 1000


@attrs.define(eq=False)
class _TeamState:
    """One team's rate and burst, this host's share of them, and the tokens."""

    team: text.Team
    holding: holding.Holding
    lending: lending.Lending

    applied: tuple[int, float] = (-1, 0.0)

    def sync_if_changed(self, now: float) -> None:
        """Applies the share that may be used now, unless it is in force already."""
        if (self.holding.usable(now), self.holding.settled_from) != self.applied:
            self.sync(now)

    def sync(self, now: float) -> None:
        """Applies the share that may be used now to the tokens."""
        parts = self.holding.usable(now)
        fraction = parts / quota.PARTS
        self.applied = (parts, self.holding.settled_from)
        self.lending.resize(
            self.team.rate * fraction,
            self.team.burst * fraction,
            self.holding.settled_from,
            now,
        )


class QuotaHolder:
    """All quota shares of one process; safe to share between threads."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        failure_domain: str,
        client: objects.Objects,
        timings: holding.Timings,
        clock: Callable[[], float],
    ) -> None:
        """Starts without shares; the control port of the host must be bound by now.

        Args:
            host: Name of this host.
            incarnation: Start time of this process in milliseconds.
            failure_domain: Failure domain of this host.
            client: The platform.
            timings: Time limits.
            clock: Monotonic seconds; read again after each answer of the platform.
        """
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._client = client
        self._timings = timings
        self._clock = clock
        self._started = clock()
        self._lock = threading.Lock()
        self._states: dict[str, _TeamState] = {}

    def held(self) -> Collection[str]:
        """Returns the teams of which this host has a share."""
        with self._lock:
            return [team for team, state in self._states.items() if state.holding.share]

    def shares(self, now: float) -> dict[str, float]:
        """Returns the fraction of each held team's quota that may be used now."""
        with self._lock:
            return {
                team: state.holding.usable(now) / quota.PARTS
                for team, state in self._states.items()
                if state.holding.share
            }

    def tokens(self, now: float) -> dict[str, float]:
        """Returns the tokens of each held team that a call here could spend now."""
        with self._lock:
            for state in self._states.values():
                state.sync(now)
            return {team: state.lending.at_hand(now) for team, state in self._states.items()}

    def predecessor_shares(self) -> list[str]:
        """Returns the teams of which an earlier process on this host has left a share."""
        left = []
        for item in self._client.list(quota.KIND).items:
            found = quota.decode(item.value).find(self._host)
            if found is not None:
                left.append(item.name)
        return left

    def take(self, team: str, now: float) -> bool:
        """Spends one token of this host's share; returns False if there is none."""
        with self._lock:
            state = self._states.get(team)
            if state is None:
                return False
            state.sync_if_changed(now)
            return state.lending.take(now)

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Undoes a take of this host's share."""
        with self._lock:
            state = self._states.get(team)
            if state is not None:
                state.sync(now)
                state.lending.give_back(now, taken_at)

    def draw(self, request: quota_pb2.DrawRequest, now: float) -> quota_pb2.DrawResponse:
        """Answers another node's draw."""
        response = quota_pb2.DrawResponse(
            incarnation=self._incarnation,
            lifetime_ms=int(self._timings.token_lifetime_s * MILLIS_PER_S),
        )
        with self._lock:
            for draw in request.draws:
                response.grants.append(self._grant(request, draw, now))
        return response

    def adjust(self, team: text.Team, chosen: bool, holders: int) -> None:
        """Reads a team's quota object and changes this host's share in it if it should.

        Args:
            team: The team as the configuration in force has it.
            chosen: Whether this host is to be a holder.
            holders: Number of holders that the fleet should have.

        Raises:
            PlatformError: The platform cannot be reached; shares stay usable for their lease.
        """
        state = self._state(team)
        for _ in range(CONFLICT_ATTEMPTS):
            value, version = self._read(team.name)
            write = self._decide(state, value, version, chosen, holders)
            if write is None or self._send(state, write):
                return

    def _grant(
        self, request: quota_pb2.DrawRequest, draw: quota_pb2.TeamDraw, now: float
    ) -> quota_pb2.Grant:
        state = self._states.get(draw.team)
        if state is None or state.holding.share is None:
            return quota_pb2.Grant(team=draw.team, retry_after_ms=NOT_HOLDER_RETRY_MS)
        state.sync(now)
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

    def _state(self, team: text.Team) -> _TeamState:
        now = self._clock()
        with self._lock:
            state = self._states.get(team.name)
            if state is None:
                held = holding.Holding(
                    self._host,
                    self._incarnation,
                    self._failure_domain,
                    self._timings,
                    self._started,
                )
                tokens = lending.Lending(now, self._timings.loan_s)
                state = self._states[team.name] = _TeamState(team, held, tokens)
            state.team = team
            state.applied = (-1, 0.0)
            return state

    def _read(self, team: str) -> tuple[quota.Quota, int]:
        try:
            stored = self._client.get(quota.KIND, team)
        except errors.NotFoundError:
            return quota.Quota(), 0
        return quota.decode(stored.value), stored.version

    def _decide(
        self, state: _TeamState, value: quota.Quota, version: int, chosen: bool, holders: int
    ) -> holding.Write | None:
        now = self._clock()
        with self._lock:
            state.holding.observe(value, version, now)
            state.sync(now)
            circumstances = holding.Circumstances(
                chosen=chosen,
                holders=holders,
                burst=state.team.burst,
                lent=state.lending.lent,
                demand=state.lending.demand(now),
            )
            write = state.holding.decide(circumstances, now)
            state.sync(now)
            return write

    def _send(self, state: _TeamState, write: holding.Write) -> bool:
        try:
            version = self._client.put(
                quota.KIND, state.team.name, quota.encode(write.quota), write.version
            )
        except errors.ConflictError:
            return False
        except errors.PlatformUnavailableError:
            with self._lock:
                state.holding.doubt(write)
                state.sync(self._clock())
            raise
        with self._lock:
            now = self._clock()
            state.holding.confirm(write, version, now)
            state.sync(now)
        return True
