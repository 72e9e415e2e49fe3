"""Team rates that are exact over the whole fleet, from held quota shares and drawn tokens.

The holders of a team are the hosts that have a share of its quota. Other nodes draw tokens from
them: they send a request (a draw) and may spend the tokens that the holder lends for a short time.
"""

import math
import random
import threading
from collections.abc import Callable, Mapping, Sequence
from concurrent import futures

import attrs
import grpc
import logbook

from bergamotridge import malformed
from bergamotridge.callers import (
    holder_choice,
    quota_drawer,
    quota_holder,
    rates,
    share_keeper,
    share_plans,
)
from bergamotridge.nodes import holders, quota, quota_pb2, record
from bergamotridge.operators import operator_text
from bergamotridge.store import holding, objects
from bergamotridge.util import clock, loop

DRAW_THREADS = 4
RECONFIGURE_INTERVAL_S = 0.5
# Longest time for which a call waits until a holder has created its token. Callers of a team beyond
# its rate are refused without delay.
MAX_REFILL_WAIT_S = 0.1
MIN_DRAW_PAUSE_S = 0.02  # Collects the settlements that become due at about the same time.
_log = logbook.Logger("quota")


@attrs.frozen
class QuotaSettings:
    """Settings of the quota; they must be equal on all nodes of a fleet.

    Attributes:
        timings: Time limits of holders.
        per_domain: Number of holders of a team in each failure domain.
        groups: Number of platform objects among which the quotas of all teams are divided.
        draw_interval_s: Longest time in seconds between two checks for tokens to draw.
        draw_timeout_s: Timeout of a draw, and of a call that waits for one, in seconds.
    """

    timings: holding.Timings = attrs.field(factory=holding.Timings)
    per_domain: int = holders.HOLDERS_PER_DOMAIN
    groups: int = 4
    draw_interval_s: float = 1.0
    draw_timeout_s: float = 0.25


class QuotaRates:
    """Team rates of one node of a fleet.

    Call `register` before the control port is bound, and `start` after it.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        failure_domain: str,
        client: objects.Objects,
        transport: quota.Transport,
        members: Callable[[], Sequence[record.UpstreamRecord]],
        teams: Callable[[], Mapping[str, operator_text.Team]],
        settings: QuotaSettings | None = None,
        restored_epoch: Callable[[], int | None] = lambda: None,
        on_malformed: malformed.OnMalformed = malformed.ignore,
    ) -> None:
        """Prepares the rates.

        Args:
            host: Name of this host.
            incarnation: Start time of this process in milliseconds.
            failure_domain: Failure domain of this host.
            client: Client of the platform.
            transport: Sends draws to other nodes; for example a `quota.QuotaClient`.
            members: Returns the records of all known hosts, this one included.
            teams: Returns the teams of the configuration in force.
            settings: Settings of the quota; the defaults if None.
            restored_epoch: Returns the epoch of the platform's store if it began with a recent
                restoration; see `quota_holder.QuotaHolder`.
            on_malformed: Called with a report of each quota object that cannot be read.
        """
        self._restored_epoch = restored_epoch
        self._on_malformed = on_malformed
        self._host = host
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._client = client
        self._transport = transport
        self._members = members
        self._teams = teams
        self._settings = settings or QuotaSettings()
        # Leases and the lifetimes of tokens go on while this machine is suspended.
        self._clock = clock.boot_time
        self._rng = random.Random(f"{host} {incarnation}")
        self._holder: quota_holder.QuotaHolder | None = None
        self._lock = threading.Lock()
        self._draw_needed = threading.Condition(self._lock)
        self._draw_waiters: list[loop.WakeUpEvent] = []
        self._drawer = quota_drawer.QuotaDrawer(host, failure_domain, self._rng)
        self._configured_at = float("-inf")
        self._choice = holder_choice.HolderChoice(
            host,
            failure_domain,
            self._settings.per_domain,
            self._settings.groups,
            self._settings.timings.join_after_s,
        )
        self._keeper = share_keeper.ShareKeeper(
            share_plans.SharePlanner(self._choice),
            teams,
            self._settings.timings,
            self._clock,
            self._rng,
            on_malformed,
        )
        self._stopping = threading.Event()
        self._loop_executor = futures.ThreadPoolExecutor(2, "quota")
        self._send_executor = futures.ThreadPoolExecutor(DRAW_THREADS, "quota-draw")

    def register(self, server: grpc.Server) -> None:
        """Adds the service that answers draws to a gRPC server that has not started."""
        quota.QuotaService(self._answer_draw).register(server)

    def start(self) -> None:
        """Starts the threads that hold shares and draw tokens.

        This process must already have bound the host's control port.
        """
        self._holder = quota_holder.QuotaHolder(
            self._host,
            self._incarnation,
            self._failure_domain,
            self._client,
            self._settings.timings,
            self._clock,
            self._restored_epoch,
            self._on_malformed,
            self._teams,
        )
        self._loop_executor.submit(self._keeper.run, self._holder)
        self._loop_executor.submit(self._run_draw_loop)

    def handle_restoration(self) -> None:
        """Makes the shares be written again soon, as the platform's store was restored."""
        self._keeper.handle_restoration()

    def start_return(self) -> None:
        """Starts to return shares to the platform in the background; draws continue.

        The return takes as long as the platform needs for its answers, and is tried again until
        `stop` while the platform fails.
        """
        self._keeper.end()
        self._loop_executor.submit(self._keeper.keep_returning)

    def stop(self, limit_s: float = float("inf")) -> None:
        """Returns drawn tokens and shares as far as possible in a few seconds.

        Args:
            limit_s: Time in seconds after which no request to the platform begins; one that is
                under way then is not waited for.
        """
        deadline = self._clock() + limit_s
        self._keeper.stop(deadline)
        self._stopping.set()
        with self._lock:
            self._drawer.return_all()
            draws = self._drawer.plan_draws(self._members_by_host(), self._clock())
            self._draw_needed.notify_all()
            self._wake_waiting_calls()
        self._wait([self._send_executor.submit(self._send_draw, draw) for draw in draws], deadline)
        self._wait([self._loop_executor.submit(self._keeper.return_all)], deadline)
        self._loop_executor.shutdown(wait=False)
        self._send_executor.shutdown(wait=False)

    def _wait(self, ending: Sequence[futures.Future], deadline: float) -> None:
        """Waits for the last work of the stop, until its deadline at most."""
        left_s = max(0.0, deadline - self._clock())
        futures.wait(ending, None if math.isinf(left_s) else left_s)

    def shares(self) -> dict[str, float]:
        """Returns the fraction of the quota that this host may use now, by team."""
        return self._holder.shares(self._clock()) if self._holder else {}

    def tokens(self) -> dict[str, float]:
        """Returns the tokens that calls at this host could spend now, by team."""
        now = self._clock()
        with self._lock:
            tokens: dict[str, float] = dict(self._drawer.tokens(now))
        held_tokens = self._holder.tokens(now) if self._holder else {}
        for team, count in held_tokens.items():
            tokens[team] = tokens.get(team, 0.0) + count
        return tokens

    async def take(self, team: str, now: float) -> None:
        """Spends one token; see `rates.TeamRates`."""
        settings = self._teams().get(team)
        if settings is None:
            raise rates.make_rate_error(team, rates.MAX_RETRY_AFTER_S)
        if math.isinf(settings.rate):
            return
        if self._holder is not None and self._holder.take(team, now):
            return
        with self._lock:
            self._drawer.record_demand(team, now)
            if self._drawer.take(team, now, now):
                if self._drawer.draw_is_due(team, now):
                    self._draw_needed.notify_all()
                return
        await self._wait_for_draw(team, now)

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Gives a token back; see `rates.TeamRates`."""
        with self._lock:
            if self._drawer.give_back(team, now, taken_at):
                return
        if self._holder is not None:
            self._holder.give_back(team, now, taken_at)

    async def _wait_for_draw(self, team: str, now: float) -> None:
        """Waits for a draw and spends one of its tokens; raises CallError if there is none."""
        requested_at, deadline = now, now + self._settings.draw_timeout_s
        refill_deadline = now + MAX_REFILL_WAIT_S
        with self._lock:
            self._drawer.add_waiting(team, 1)
        try:
            while now < deadline and not self._stopping.is_set():
                wake = loop.WakeUpEvent()
                with self._lock:
                    draw_at = self._drawer.next_draw_at(team, now)
                    if draw_at > max(now, refill_deadline):
                        break
                    self._draw_waiters.append(wake)
                    self._draw_needed.notify_all()
                await wake.wait((deadline if draw_at <= now else draw_at) - now)
                now = self._clock()
                with self._lock:
                    if self._drawer.take(team, now, requested_at):
                        return
        finally:
            with self._lock:
                self._drawer.add_waiting(team, -1)
                retry_after_s = self._drawer.retry_after_s(team, now)
        raise rates.make_rate_error(team, retry_after_s)

    def _wake_waiting_calls(self) -> None:
        """Wakes the calls that wait for a draw; the caller must hold the lock."""
        waiters, self._draw_waiters = self._draw_waiters, []
        for wake in waiters:
            wake()

    def _answer_draw(self, request: quota_pb2.DrawRequest) -> quota_pb2.DrawResponse:
        if self._holder is None:
            return quota_pb2.DrawResponse(incarnation=self._incarnation)
        return self._holder.answer_draw(request, self._clock())

    def _members_by_host(self) -> dict[str, record.UpstreamRecord]:
        return {member.host: member for member in self._members()}

    def _reconfigure_if_due(self, now: float) -> None:
        if now - self._configured_at < RECONFIGURE_INTERVAL_S:
            return
        self._configured_at = now
        teams, held_before = self._teams(), self._choice.teams_to_hold()
        if not self._choice.update(teams, self._members(), now):
            return
        if self._choice.teams_to_hold() != held_before:
            self._keeper.look_soon()
        self._drawer.configure(teams, self._choice.by_team, now)

    def _run_draw_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                self._send_next_draws()
            except Exception:
                _log.exception("planning draws of tokens failed unexpectedly and is retried")
                self._stopping.wait(self._settings.draw_interval_s)

    def _send_next_draws(self) -> None:
        """Sends the draws that are due, or waits until some may be."""
        with self._lock:
            now = self._clock()
            self._reconfigure_if_due(now)
            draws = self._drawer.plan_draws(self._members_by_host(), now)
            if not draws:
                self._draw_needed.wait(self._draw_pause_s(now))
        for draw in draws:
            self._send_executor.submit(self._send_draw, draw)

    def _draw_pause_s(self, now: float) -> float:
        """Returns for how long nothing has to be drawn or settled unless calls ask for tokens."""
        due_in_s = self._drawer.next_settlement_at() - now
        return min(self._settings.draw_interval_s, max(MIN_DRAW_PAUSE_S, due_in_s))

    def _send_draw(self, draw: quota_drawer.Draw) -> None:
        response = None
        try:
            response = self._transport.draw(
                draw.holder.control_address, draw.request, self._settings.draw_timeout_s
            )
        except quota.UnreachableError as error:
            _log.debug("draw of tokens failed: {}", error)
        except Exception:
            _log.exception("a draw of tokens from {} failed unexpectedly", draw.holder.host)
        with self._lock:
            self._drawer.apply_response(draw, response, self._clock())
            self._wake_waiting_calls()
