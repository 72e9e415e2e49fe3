"""Choice of the tokens that a node draws ahead, and of the holders that it draws them from."""

import math
import random
from collections.abc import Iterable, Mapping, Sequence

import attrs

from bergamotridge.callers import drawn_tokens
from bergamotridge.nodes import holders, quota_pb2, record
from bergamotridge.operators import operator_text
from bergamotridge.store import holding

MILLIS_PER_S = 1000
UNREACHABLE_RETRY_S = 1.0
RETRY_JITTER_RATIO = 0.25  # Largest random addition to a retry delay, relative to the delay.
NO_BACKOFF_S = float("-inf")
# Tokens for waiting calls live for so many mean times of a draw.
IMMEDIATE_LIFETIME_DRAWS = 4.0
FIRST_DRAW_S = 0.0125
DRAW_GAIN = 0.2  # Weight of the latest draw in the mean time.
MIN_IMMEDIATE_LIFETIME_S = 0.03
MAX_IMMEDIATE_LIFETIME_S = 0.25


@attrs.frozen
class Draw:
    """A request for tokens to one holder; it also carries settlements.

    Attributes:
        holder: Member record of the holder.
        request: The message.
        sent_at: Monotonic time in seconds at which the request was planned.
    """

    holder: record.UpstreamRecord
    request: quota_pb2.DrawRequest
    sent_at: float


@attrs.define(eq=False)
class _TeamState:
    """One team's drawn tokens and the holders to draw from.

    Attributes:
        tokens: The drawn tokens.
        draw_order: Holders in the order of preference.
        backoff_until: Monotonic time in seconds before which a holder is not asked, by host.
        is_drawing: Whether a draw for this team is in flight.
    """

    tokens: drawn_tokens.DrawnTokens
    draw_order: Sequence[record.UpstreamRecord] = ()
    backoff_until: dict[str, float] = attrs.field(factory=dict)
    is_drawing: bool = False

    def find_available_holder(self, now: float) -> record.UpstreamRecord | None:
        """Returns the first holder that is not in backoff, or None."""
        for member in self.draw_order:
            if self.backoff_until.get(member.host, NO_BACKOFF_S) <= now:
                return member
        return None

    def backoff_ends_at(self) -> float:
        """Returns the time at which a holder is no longer in backoff, infinity without holders."""
        ends = [self.backoff_until.get(member.host, NO_BACKOFF_S) for member in self.draw_order]
        return min(ends, default=math.inf)


class QuotaDrawer:
    """Drawn tokens of all teams at one node.

    Not thread-safe: the caller must hold a lock around each method call.
    """

    def __init__(self, host: str, failure_domain: str, rng: random.Random) -> None:
        """Starts without teams and tokens.

        Args:
            host: Name of this host.
            failure_domain: Failure domain of this host.
            rng: Source of jitter.
        """
        self._host = host
        self._failure_domain = failure_domain
        self._rng = rng
        self._states: dict[str, _TeamState] = {}
        # Teams with drawn tokens or with calls that need some; the others need no attention.
        self._active: set[str] = set()
        self._mean_draw_s = FIRST_DRAW_S

    def configure(
        self,
        teams: Mapping[str, operator_text.Team],
        chosen_holders: Mapping[str, Mapping[str, Sequence[record.UpstreamRecord]]],
        now: float,
    ) -> None:
        """Sets the teams, and their holders by team and failure domain."""
        for name in set(self._states) - set(teams):
            del self._states[name]
            self._active.discard(name)
        for name, team in teams.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = _TeamState(drawn_tokens.DrawnTokens(now))
            state.tokens.configure(team.rate, team.burst)
            state.draw_order = holders.draw_order(
                team, chosen_holders.get(name, {}), self._host, self._failure_domain
            )

    def take(self, team: str, now: float, requested_at: float) -> bool:
        """Spends a drawn token for a call that requested one at `requested_at`.

        Returns:
            False if there is no token.
        """
        state = self._states.get(team)
        return state is not None and state.tokens.take(now, requested_at)

    def draw_is_due(self, team: str, now: float) -> bool:
        """Returns whether a draw for a team should be sent now."""
        state = self._states.get(team)
        return (
            state is not None
            and not state.is_drawing
            and state.tokens.wanted(now) > 0
            and state.find_available_holder(now) is not None
        )

    def next_settlement_at(self) -> float:
        """Returns the monotonic time in seconds from which a settlement is due, else infinity."""
        return min(
            (self._states[team].tokens.next_settlement_at() for team in self._active),
            default=drawn_tokens.INFINITY_S,
        )

    def tokens(self, now: float) -> dict[str, int]:
        """Returns the number of drawn tokens of each team that can be spent now."""
        return {team: state.tokens.available_tokens(now) for team, state in self._states.items()}

    def give_back(self, team: str, now: float, requested_at: float) -> bool:
        """Undoes a `take` of a drawn token; returns False if it cannot be undone."""
        state = self._states.get(team)
        return state is not None and state.tokens.give_back(now, requested_at)

    def record_demand(self, team: str, now: float) -> None:
        """Counts a call that needs a token which this host's own share did not provide."""
        if team in self._states:
            self._active.add(team)
            self._states[team].tokens.record_demand(now)

    def add_waiting(self, team: str, count: int) -> None:
        """Adds `count`, which may be negative, to the number of calls that wait for a draw."""
        if team in self._states:
            self._active.add(team)
            self._states[team].tokens.waiting += count

    def next_draw_at(self, team: str, now: float) -> float:
        """Returns from when a draw can bring tokens: `now` if one is in flight or can be sent.

        Otherwise returns the time at which the backoff of a holder ends, infinity if there is no
        holder.
        """
        state = self._states.get(team)
        if state is None:
            return math.inf
        if state.is_drawing:
            return now
        return max(now, state.backoff_ends_at())

    def retry_after_s(self, team: str, now: float) -> float:
        """Returns the seconds until the backoff of the first holder ends."""
        state = self._states.get(team)
        backoff_ends = state.backoff_until.values() if state else ()
        return max(0.0, min(backoff_ends, default=now + UNREACHABLE_RETRY_S) - now)

    def return_all(self) -> None:
        """Makes all tokens due for return and draws no more until the next `configure`."""
        for state in self._states.values():
            state.tokens.mark_all_for_return()
            state.draw_order = ()

    def plan_draws(self, members: Mapping[str, record.UpstreamRecord], now: float) -> list[Draw]:
        """Returns the draws to send now, at most one for each holder.

        Args:
            members: All members by host.
            now: Monotonic time in seconds.
        """
        wanted_by_host: dict[str, dict[str, int]] = {}
        for team in list(self._active):
            state = self._states[team]
            count = 0 if state.is_drawing else state.tokens.wanted(now)
            if not count and not state.is_drawing and state.tokens.is_empty:
                self._active.discard(team)
                continue
            member = state.find_available_holder(now) if count else None
            if member is not None:
                state.is_drawing = True
                wanted_by_host.setdefault(member.host, {})[team] = count
            for host in state.tokens.holders_due(now):
                wanted_by_host.setdefault(host, {})
        return [
            Draw(members[host], self._build_request(host, teams, now), now)
            for host, teams in wanted_by_host.items()
            if host in members or self._mark_not_drawing(teams)
        ]

    def apply_response(
        self, draw: Draw, response: quota_pb2.DrawResponse | None, now: float
    ) -> None:
        """Adds the granted tokens of a response and sets the backoff of its holder.

        Args:
            draw: The draw that was sent.
            response: The response, or None if none was received.
            now: Monotonic time in seconds.
        """
        host = draw.holder.host
        self._mean_draw_s += DRAW_GAIN * (now - draw.sent_at - self._mean_draw_s)
        self._mark_not_drawing(item.team for item in draw.request.draws if item.wanted)
        if response is None:
            retry_s = UNREACHABLE_RETRY_S * self._random_jitter_factor()
            for item in draw.request.draws:
                self._set_backoff(item.team, host, now + retry_s)
                if item.team in self._states:
                    self._states[item.team].tokens.restore_calls(item.calls)
            return
        for grant in response.grants:
            self._add_tokens(draw, response, grant)
            if grant.retry_after_ms:
                retry_s = grant.retry_after_ms / MILLIS_PER_S * self._random_jitter_factor()
                self._set_backoff(grant.team, host, now + retry_s)

    def _add_tokens(
        self, draw: Draw, response: quota_pb2.DrawResponse, grant: quota_pb2.Grant
    ) -> None:
        """Adds the tokens of one grant."""
        state = self._states.get(grant.team)
        if state is None or not (grant.granted or grant.immediate):
            return
        self._active.add(grant.team)
        host, incarnation = draw.holder.host, response.incarnation
        if grant.granted:
            lifetime_s = _usable_s(response.lifetime_ms)
            state.tokens.add(
                host, incarnation, grant.batch, grant.granted, draw.sent_at, lifetime_s
            )
        if grant.immediate:
            lifetime_s = _usable_s(draw.request.immediate_lifetime_ms)
            state.tokens.add_for_waiting(
                host, incarnation, grant.immediate, draw.sent_at, lifetime_s
            )

    def _build_request(
        self, host: str, wanted: Mapping[str, int], now: float
    ) -> quota_pb2.DrawRequest:
        """Returns the draw for one holder, with the settlements to report to it.

        Only the settlements for the newest incarnation of the holder are sent, as a new process
        numbers its batches anew; the others are dropped.
        """
        settlements = {
            team: self._states[team].tokens.pop_settlements(host, now, include_not_due=True)
            for team in sorted(self._active)
        }
        newest_incarnation = max(
            (item.incarnation for items in settlements.values() for item in items), default=0
        )
        request = quota_pb2.DrawRequest(
            host=self._host,
            holder_incarnation=newest_incarnation,
            immediate_lifetime_ms=self._immediate_lifetime_ms(),
        )
        for team, items in settlements.items():
            if team not in wanted and not items:
                continue
            state = self._states[team]
            draw = request.draws.add(
                team=team,
                wanted=wanted.get(team, 0),
                waiting=state.tokens.wanted_for_waiting(now) if wanted.get(team) else 0,
                calls=state.tokens.pop_calls() if self._reports_calls(state, host) else 0,
            )
            for item in items:
                if item.incarnation == newest_incarnation:
                    draw.settlements.add(batch=item.batch, spent=item.spent, unused=item.unused)
        return request

    def _reports_calls(self, state: _TeamState, host: str) -> bool:
        """Returns whether a holder is told of this node's calls, as part of its demand.

        Only a team's first holder in the draw order is, and only if it is in this host's failure
        domain.
        """
        first = state.draw_order[0] if state.draw_order else None
        is_nearby = first is not None and first.failure_domain == self._failure_domain
        return is_nearby and first.host == host

    def _immediate_lifetime_ms(self) -> int:
        """Returns the lifetime of tokens for waiting calls, long enough for the answer to arrive.

        It is short, because the holder creates fewer tokens while some may yet be spent.
        """
        lifetime_s = IMMEDIATE_LIFETIME_DRAWS * self._mean_draw_s
        limited_s = min(MAX_IMMEDIATE_LIFETIME_S, max(MIN_IMMEDIATE_LIFETIME_S, lifetime_s))
        return int(limited_s * MILLIS_PER_S)

    def _mark_not_drawing(self, teams: Iterable[str]) -> bool:
        """Marks that no draw is in flight; returns False, so that a condition can call it."""
        for team in teams:
            if team in self._states:
                self._states[team].is_drawing = False
        return False

    def _set_backoff(self, team: str, host: str, until: float) -> None:
        if team in self._states:
            self._states[team].backoff_until[host] = until

    def _random_jitter_factor(self) -> float:
        return 1.0 + self._rng.random() * RETRY_JITTER_RATIO


def _usable_s(lifetime_ms: int) -> float:
    """Returns the seconds for which this node may spend tokens of a lifetime at their holder."""
    return lifetime_ms / MILLIS_PER_S * (1.0 - holding.CLOCK_DRIFT_FRACTION)
