"""Rates of teams, exact over the whole fleet: shares of the quota held here and tokens drawn."""

import contextlib
import random
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent import futures

import attrs
import grpc
import logbook

from bergamotridge import errors
from bergamotridge.callers import quota_drawer, quota_holder, rates
from bergamotridge.nodes import holders, quota, quota_pb2, record
from bergamotridge.operators import text
from bergamotridge.store import holding, objects
from bergamotridge.util import loop

DRAW_THREADS = 4
LONGEST_BACKOFF_S = 4.0
RECONFIGURE_S = 0.5
LEAVE_INTERVAL_S = 0.1
FIRST_LOOK_S = 0.4  # Longest delay of the first look, for hosts that start together.
TEAMS_POLL_S = 0.05
JOIN_LOOK_S = 1.0  # Longest pause while this host is about to join or leave.
_log = logbook.Logger("quota")


@attrs.frozen
class QuotaSettings:
    """Settings of the quota, equal on all nodes of a fleet.

    Attributes:
        timings: Time limits of holders.
        per_domain: Holders of a team in each failure domain.
        draw_interval_s: Longest time between two looks at what to draw, in seconds.
        draw_timeout_s: Longest wait of a call for a draw, and time limit of a draw, in seconds.
    """

    timings: holding.Timings = attrs.field(factory=holding.Timings)
    per_domain: int = holders.HOLDERS_PER_DOMAIN
    draw_interval_s: float = 0.1
    draw_timeout_s: float = 0.25


class Pace:
    """Pauses between looks at the platform, spread so that hosts never look all at once."""

    def __init__(self, interval_s: float, rng: random.Random) -> None:
        """Creates pauses of `interval_s` seconds on average while the platform answers."""
        self._interval_s = interval_s
        self._rng = rng
        self._pause_s = interval_s

    def first_s(self) -> float:
        """Returns the pause before the first look."""
        return min(FIRST_LOOK_S, self._interval_s) * self._rng.random()

    def next_s(self, failed: bool) -> float:
        """Returns the pause before the next look; it doubles while looks fail."""
        self._pause_s = min(LONGEST_BACKOFF_S, 2.0 * self._pause_s) if failed else self._interval_s
        return self._pause_s * (0.5 + self._rng.random())


class QuotaRates:
    """Team rates of one node of a fleet.

    `register` comes before the control port is bound, `start` after it.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        failure_domain: str,
        client: objects.Objects,
        transport: quota.Transport,
        members: Callable[[], Sequence[record.UpstreamRecord]],
        teams: Callable[[], Mapping[str, text.Team]],
        settings: QuotaSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepares the rates.

        Args:
            host: Name of this host.
            incarnation: Start time of this process in milliseconds.
            failure_domain: Failure domain of this host.
            client: The platform.
            transport: Draws from other nodes, such as `quota.QuotaClient`.
            members: Returns the records of all known hosts, this one included.
            teams: Returns the teams of the configuration in force.
            settings: Settings of the quota.
            clock: Monotonic seconds.
        """
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._client = client
        self._transport = transport
        self._members = members
        self._teams = teams
        self._settings = settings or QuotaSettings()
        self._clock = clock
        self._rng = random.Random(f"{host} {incarnation}")
        self._holder: quota_holder.QuotaHolder | None = None
        self._lock = threading.Lock()
        self._work = threading.Condition(self._lock)
        self._arrivals: list[loop.Wake] = []
        self._drawer = quota_drawer.QuotaDrawer(host, failure_domain, self._rng)
        self._chosen: Mapping[str, Mapping[str, Sequence[record.UpstreamRecord]]] = {}
        self._chosen_since: dict[str, float] = {}
        self._configured_at = float("-inf")
        self._stopping = threading.Event()
        self._leaving = threading.Event()
        self._tasks = futures.ThreadPoolExecutor(2, "quota")
        self._sends = futures.ThreadPoolExecutor(DRAW_THREADS, "quota-draw")

    def register(self, server: grpc.Server) -> None:
        """Adds the service for other nodes to a gRPC server that has not started."""
        quota.QuotaService(self._answer).register(server)

    def start(self) -> None:
        """Starts to hold and draw; this process has bound the host's control port."""
        self._holder = quota_holder.QuotaHolder(
            self._host,
            self._incarnation,
            self._failure_domain,
            self._client,
            self._settings.timings,
            self._clock,
        )
        self._tasks.submit(self._hold)
        self._tasks.submit(self._draw)

    def hand_back(self) -> None:
        """Returns shares, as far as that can be done in a few seconds; tokens are still drawn."""
        self._leaving.set()
        self._leave()

    def stop(self) -> None:
        """Returns drawn tokens and shares, as far as that can be done in a few seconds."""
        self._leaving.set()
        self._stopping.set()
        with self._lock:
            self._drawer.return_all()
            draws = self._drawer.plan(self._members_by_host(), self._clock())
            self._work.notify_all()
            self._wake_waiting()
        futures.wait([self._sends.submit(self._send, draw) for draw in draws])
        self._tasks.shutdown()
        self._sends.shutdown()
        self._leave()

    def shares(self) -> dict[str, float]:
        """Returns the fraction of each team's quota that this host may use now."""
        return self._holder.shares(self._clock()) if self._holder else {}

    def tokens(self) -> dict[str, float]:
        """Returns the tokens of each team that calls at this host could spend now."""
        now = self._clock()
        with self._lock:
            tokens: dict[str, float] = dict(self._drawer.tokens(now))
        held = self._holder.tokens(now) if self._holder else {}
        for team, count in held.items():
            tokens[team] = tokens.get(team, 0.0) + count
        return tokens

    async def take(self, team: str, now: float) -> None:
        """Spends one token; see `rates.TeamRates`."""
        if team not in self._teams():
            raise rates.refusal(team, rates.HIGHEST_RETRY_AFTER_S)
        if self._holder is not None and self._holder.take(team, now):
            return
        with self._lock:
            self._drawer.note_demand(team, now)
            if self._drawer.take(team, now, now):
                return
        await self._wait_for_draw(team, now)

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Returns a token; see `rates.TeamRates`."""
        with self._lock:
            if self._drawer.give_back(team, now, taken_at):
                return
        if self._holder is not None:
            self._holder.give_back(team, now, taken_at)

    async def _wait_for_draw(self, team: str, now: float) -> None:
        asked_at, end = now, now + self._settings.draw_timeout_s
        with self._lock:
            self._drawer.add_waiting(team, 1)
        try:
            while now < end and not self._stopping.is_set():
                wake = loop.Wake()
                with self._lock:
                    if not self._drawer.can_draw(team, now):
                        break
                    self._arrivals.append(wake)
                    self._work.notify_all()
                await wake.wait(end - now)
                now = self._clock()
                with self._lock:
                    if self._drawer.take(team, now, asked_at):
                        return
        finally:
            with self._lock:
                self._drawer.add_waiting(team, -1)
        raise rates.refusal(team, self._drawer.retry_after_s(team, now))

    def _wake_waiting(self) -> None:
        """Wakes the calls that wait for a draw; the caller holds the lock."""
        arrivals, self._arrivals = self._arrivals, []
        for wake in arrivals:
            wake()

    def _answer(self, request: quota_pb2.DrawRequest) -> quota_pb2.DrawResponse:
        if self._holder is None:
            return quota_pb2.DrawResponse(incarnation=self._incarnation)
        return self._holder.draw(request, self._clock())

    def _members_by_host(self) -> dict[str, record.UpstreamRecord]:
        return {member.host: member for member in self._members()}

    def _configure(self, now: float) -> None:
        if now - self._configured_at < RECONFIGURE_S:
            return
        self._configured_at = now
        teams, members = self._teams(), self._members()
        per_domain = self._settings.per_domain
        self._chosen = {
            name: holders.choose(team, members, per_domain) for name, team in teams.items()
        }
        self._drawer.configure(teams, self._chosen, now)

    def _draw(self) -> None:
        while not self._stopping.is_set():
            with self._lock:
                now = self._clock()
                self._configure(now)
                draws = self._drawer.plan(self._members_by_host(), now)
                if not draws:
                    self._work.wait(self._settings.draw_interval_s)
            for draw in draws:
                self._sends.submit(self._send, draw)

    def _send(self, draw: quota_drawer.Draw) -> None:
        response = None
        with contextlib.suppress(quota.UnreachableError):
            response = self._transport.draw(
                draw.holder.control_address, draw.request, self._settings.draw_timeout_s
            )
        with self._lock:
            self._drawer.apply(draw, response, self._clock())
            self._wake_waiting()

    def _hold(self) -> None:
        pace = Pace(self._settings.timings.adjust_s, self._rng)
        left: Sequence[str] | None = None
        self._wait_for_teams()
        self._leaving.wait(pace.first_s())
        while not self._leaving.is_set():
            failed = False
            try:
                if left is None:
                    left = self._holder.predecessor_shares()
                self._adjust(left)
            except errors.PlatformError as error:
                _log.warning("quota shares not adjusted: {}", error)
                failed = True
            pause_s = pace.next_s(failed)
            soon = self._moving() and not failed
            self._leaving.wait(min(pause_s, JOIN_LOOK_S) if soon else pause_s)

    def _wait_for_teams(self) -> None:
        """Waits for the first configuration: a look before it would only put off the next one."""
        while not self._teams() and not self._leaving.wait(TEAMS_POLL_S):
            pass

    def _moving(self) -> bool:
        """Returns True while shares do not stand where they should as far as this host knows."""
        teams = self._teams()
        if not teams:
            return True
        shares = self._holder.shares(self._clock())
        for team in teams:
            share = shares.get(team)
            if not self._is_in_group(team):
                if share is not None:
                    return True
            elif not share:
                return True
        return False

    def _is_in_group(self, team: str) -> bool:
        group = self._chosen.get(team, {}).get(self._failure_domain, ())
        return any(member.host == self._host for member in group)

    def _adjust(self, also: Sequence[str]) -> None:
        now = self._clock()
        held = set(self._holder.held()) | set(also)
        with self._lock:
            chosen = dict(self._chosen)
        for name, team in self._teams().items():
            count = sum(len(group) for group in chosen.get(name, {}).values())
            # A share that a predecessor left here is taken over without the wait of a newcomer.
            joins = self._is_chosen(name, now) or (name in also and self._is_in_group(name))
            if joins or name in held:
                self._holder.adjust(team, joins, count)

    def _is_chosen(self, team: str, now: float) -> bool:
        if not self._is_in_group(team):
            self._chosen_since.pop(team, None)
            return False
        since = self._chosen_since.setdefault(team, now)
        return now - since >= self._settings.timings.join_after_s

    def _leave(self) -> None:
        timings = self._settings.timings
        end = self._clock() + 2.0 * timings.loan_s
        teams = self._teams()
        try:
            while self._holder is not None and self._clock() < end:
                held = [teams[name] for name in self._holder.held() if name in teams]
                if not held:
                    return
                for team in held:
                    self._holder.adjust(team, False, 0)
                threading.Event().wait(LEAVE_INTERVAL_S)
        except errors.PlatformError as error:
            _log.warning("quota shares not returned: {}", error)
