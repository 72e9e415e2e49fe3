"""Which tokens a node draws ahead, and from which holder."""

import random
from collections.abc import Iterable, Mapping, Sequence

import attrs

from bergamotridge.callers import prepaid
from bergamotridge.nodes import holders, quota_pb2, record
from bergamotridge.operators import text
from bergamotridge.store import holding

MILLIS_PER_S = 1000
UNREACHABLE_RETRY_S = 1.0
RETRY_JITTER = 0.25
NEVER = float("-inf")


@attrs.frozen
class Draw:
    """A request to one holder."""

    holder: record.UpstreamRecord
    request: quota_pb2.DrawRequest
    sent_at: float


@attrs.define(eq=False)
class _TeamState:
    """One team's drawn tokens and the holders to draw from."""

    tokens: prepaid.Prepaid
    order: Sequence[record.UpstreamRecord] = ()
    denied_until: dict[str, float] = attrs.field(factory=dict)
    drawing: bool = False

    def next_holder(self, now: float) -> record.UpstreamRecord | None:
        """Returns the first holder that is worth asking now."""
        for member in self.order:
            if self.denied_until.get(member.host, NEVER) <= now:
                return member
        return None


class QuotaDrawer:
    """Drawn tokens of all teams at one node. The caller holds a lock around each method."""

    def __init__(self, host: str, failure_domain: str, rng: random.Random) -> None:
        """Starts with no token.

        Args:
            host: Name of this host.
            failure_domain: Failure domain of this host.
            rng: Source of jitter.
        """
        self._host = host
        self._failure_domain = failure_domain
        self._rng = rng
        self._states: dict[str, _TeamState] = {}

    def configure(
        self,
        teams: Mapping[str, text.Team],
        chosen: Mapping[str, Mapping[str, Sequence[record.UpstreamRecord]]],
        now: float,
    ) -> None:
        """Sets the teams and their holders, by team and failure domain."""
        for name in set(self._states) - set(teams):
            del self._states[name]
        for name, team in teams.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = _TeamState(prepaid.Prepaid(now))
            state.tokens.configure(team.rate, team.burst)
            state.order = holders.draw_order(
                team, chosen.get(name, {}), self._host, self._failure_domain
            )

    def take(self, team: str, now: float, asked_at: float) -> bool:
        """Spends a drawn token for a call that asked at `asked_at`; False if there is none."""
        state = self._states.get(team)
        return state is not None and state.tokens.take(now, asked_at)

    def tokens(self, now: float) -> dict[str, int]:
        """Returns the drawn tokens of each team that may be spent now."""
        return {team: state.tokens.left(now) for team, state in self._states.items()}

    def give_back(self, team: str, now: float, asked_at: float) -> bool:
        """Undoes a take of a drawn token; returns False if that cannot be done."""
        state = self._states.get(team)
        return state is not None and state.tokens.give_back(now, asked_at)

    def note_demand(self, team: str, now: float) -> None:
        """Counts a call that asks for a token which this host does not hold itself."""
        if team in self._states:
            self._states[team].tokens.note_demand(now)

    def add_waiting(self, team: str, count: int) -> None:
        """Adds to the number of calls that wait for a draw."""
        if team in self._states:
            self._states[team].tokens.waiting += count

    def can_draw(self, team: str, now: float) -> bool:
        """Returns whether waiting for a draw may help."""
        state = self._states.get(team)
        return state is not None and (state.drawing or state.next_holder(now) is not None)

    def retry_after_s(self, team: str, now: float) -> float:
        """Returns the seconds until some holder is worth asking again."""
        state = self._states.get(team)
        times = state.denied_until.values() if state else ()
        return max(0.0, min(times, default=now + UNREACHABLE_RETRY_S) - now)

    def return_all(self) -> None:
        """Makes all tokens due for return."""
        for state in self._states.values():
            state.tokens.return_all()
            state.order = ()

    def plan(self, members: Mapping[str, record.UpstreamRecord], now: float) -> list[Draw]:
        """Returns the requests to send now, at most one for each holder.

        Args:
            members: All members by host.
            now: Monotonic time in seconds.
        """
        wanted: dict[str, dict[str, int]] = {}
        for team, state in self._states.items():
            count = 0 if state.drawing else state.tokens.wanted(now)
            member = state.next_holder(now) if count else None
            if member is not None:
                state.drawing = True
                wanted.setdefault(member.host, {})[team] = count
            for host in state.tokens.holders_due(now):
                wanted.setdefault(host, {})
        return [
            Draw(members[host], self._request(host, teams, now), now)
            for host, teams in wanted.items()
            if host in members or self._cancel(teams)
        ]

    def apply(self, draw: Draw, response: quota_pb2.DrawResponse | None, now: float) -> None:
        """Takes in the answer to a request, or None if there was none."""
        host = draw.holder.host
        self._cancel(item.team for item in draw.request.draws if item.wanted)
        if response is None:
            retry_s = UNREACHABLE_RETRY_S * self._jitter()
            for item in draw.request.draws:
                self._deny(item.team, host, now + retry_s)
            return
        life_s = response.lifetime_ms / MILLIS_PER_S * (1.0 - holding.CLOCK_DRIFT)
        for grant in response.grants:
            state = self._states.get(grant.team)
            if state is not None and grant.granted:
                state.tokens.add(
                    host, response.incarnation, grant.batch, grant.granted, draw.sent_at, life_s
                )
            if grant.retry_after_ms:
                retry_s = grant.retry_after_ms / MILLIS_PER_S * self._jitter()
                self._deny(grant.team, host, now + retry_s)

    def _request(self, host: str, wanted: Mapping[str, int], now: float) -> quota_pb2.DrawRequest:
        request = quota_pb2.DrawRequest(host=self._host)
        for team, state in self._states.items():
            settlements = state.tokens.settle(host, now, everything=True)
            if team not in wanted and not settlements:
                continue
            first = bool(state.order) and state.order[0].host == host
            near = first and state.order[0].failure_domain == self._failure_domain
            draw = request.draws.add(
                team=team,
                wanted=wanted.get(team, 0),
                demand=state.tokens.demand(now) if near else 0.0,
            )
            newest = max((item.incarnation for item in settlements), default=0)
            request.holder_incarnation = max(request.holder_incarnation, newest)
            for item in settlements:
                if item.incarnation == newest:
                    draw.settlements.add(batch=item.batch, spent=item.spent, unused=item.unused)
        return request

    def _cancel(self, teams: Iterable[str]) -> bool:
        for team in teams:
            if team in self._states:
                self._states[team].drawing = False
        return False

    def _deny(self, team: str, host: str, until: float) -> None:
        if team in self._states:
            self._states[team].denied_until[host] = until

    def _jitter(self) -> float:
        return 1.0 + self._rng.random() * RETRY_JITTER
