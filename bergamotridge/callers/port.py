"""The HTTP port for callers, where the first node admits each call for the whole fleet."""

import random
import time
from collections.abc import Callable
from typing import Protocol

import attrs
import logbook

from bergamotridge import answer, call, errors, events, headers, verdict
from bergamotridge.callers import (
    at_most_once,
    keys,
    rates,
    running_calls,
    shedding,
    shutdown,
    tree_shedding,
)
from bergamotridge.callers import dialect as caller_dialect
from bergamotridge.nodes import call_attribution, call_graph, dispatch, routing
from bergamotridge.operators import operator_text
from bergamotridge.util import cancellation, clock, message

IDEMPOTENCY_HEADER = b"idempotency-key"
ISSUE_KEY_PATH = b"/_bergamotridge/idempotency-key"

_log = logbook.Logger(__name__)

_IMPORTANCE_NAMES = tuple(importance.name.lower() for importance in call.Importance)


class Routes(Protocol):
    """Source of the current routes."""

    def routes(self) -> routing.RouteTable:
        """Returns the route table; raises CallError 503 before the first configuration."""


class KeyRing(Protocol):
    """Checks the API keys of teams."""

    def check(self, authorization: str | None, now: float) -> keys.Key:
        """Returns the API key that an Authorization header carries; raises CallError 401."""


@attrs.define
class AdmittedCall:
    """An admitted call.

    Attributes:
        target: The route that the call matched, and all services that it can reach.
        service: Service that the call goes to.
        context: Context that is passed on with the call.
        token_taken_at: Time of `clock.boot_time` in seconds at which its team's token was spent.
    """

    target: routing.Target
    service: str
    context: call.CallContext
    token_taken_at: float


@attrs.define
class AnswerSummary:
    """Facts about one answer to a caller, for the metrics.

    Attributes:
        team: Team of the call, "" if none is known.
        importance: Name of the call's class of importance, "" if the call matched no route.
        reason: Why the call was refused or failed, "" if an upstream answered.
        verdict: Whether the call may have run.
        seconds: Time from the arrival of the call to its answer, in seconds.
    """

    team: str
    importance: str
    reason: str
    verdict: verdict.Verdict
    seconds: float


@attrs.define
class _Progress:
    """Facts about a call, filled in as they become known, for its metrics and events.

    Attributes:
        request_id: Id of the request.
        team: Team of the call, "" if none is known.
        importance: Name of the call's class of importance, "" if it is not known yet.
        service: Service that the call goes to, "" if it is not known yet.
        error_text: Message of the error that ended the call, "" if there is none.
        running: The call among those under way.
        runs_at_most_once: True if the call has an idempotency key and its route is not repeatable.
        target_s: Target latency of the route in seconds, 0.0 if it has none.
        configuration: Version of the operator's text that the call was matched against.
    """

    request_id: str
    running: running_calls.RunningCall
    team: str = ""
    importance: str = ""
    service: str = ""
    error_text: str = ""
    runs_at_most_once: bool = False
    target_s: float = 0.0
    configuration: str = ""


@attrs.frozen
class CallerPort:
    """Admits the calls of callers, sends them to upstreams and returns the answers.

    A call is checked in this order: route, API key, time left before a planned stop ends,
    thresholds of the services that it can reach, rate of its team. Only the last check takes a
    token from the team's quota, so a call that an earlier check refuses costs the team nothing.

    Attributes:
        routes: Source of the current routes.
        key_ring: Checks the API keys of teams.
        team_rates: Quotas of the teams.
        thresholds: Admission thresholds of the services, for load shedding.
        tree_shedding: Sheds for dependencies that get unattributed calls.
        call_graph: Dependencies of services.
        at_most_once: Dispatches calls that run at most once.
        dispatcher: Dispatches all other calls.
        log: Receives an event for each refused, failed or late call.
        retries: Retries of a call whose route sets no number of attempts.
        record_answer: Called with the facts about each answer.
        dialect: Header fields exchanged with callers.
        origin: Service of this host's upstream, "" if unknown.
        rng: Source of randomness for the choice among a route's services.
        node_shutdown: Refuses calls that come too late in the planned stop of the node.
        calls: The calls under way.
        attribution: Finds the routes that cause the upstream's calls, None if routes are not told
            apart.
    """

    routes: Routes
    key_ring: KeyRing
    team_rates: rates.TeamRates
    thresholds: shedding.ThresholdTable
    tree_shedding: tree_shedding.TreeShedding
    call_graph: call_graph.CallGraph
    at_most_once: at_most_once.AtMostOnceDispatcher
    dispatcher: dispatch.Dispatcher
    log: events.EventLog
    retries: int
    record_answer: Callable[[AnswerSummary], None]
    dialect: caller_dialect.CallerDialect = attrs.field(factory=caller_dialect.DefaultDialect)
    origin: str = ""
    rng: random.Random = attrs.field(factory=random.Random)
    node_shutdown: shutdown.Shutdown = attrs.field(factory=shutdown.Shutdown)
    calls: running_calls.RunningCalls = attrs.field(
        default=attrs.Factory(lambda self: running_calls.RunningCalls(self.log), takes_self=True)
    )
    attribution: call_attribution.CallAttribution | None = None

    async def handle(self, request: message.Request, token: cancellation.Token) -> message.Response:
        """Returns the response to one call; a handler for `httpd.Server`."""
        now = time.monotonic()
        started = _received_at(request, now)
        request_id = self.dialect.request_id(request)
        progress = _Progress(request_id, self.calls.begin(request_id, request.path, started, now))
        try:
            result = await self._answer(progress, request, token)
        except errors.CallError as error:
            progress.error_text = str(error)
            result = answer.from_error(error)
        finally:
            self.calls.end(progress.running)
        now = time.monotonic()
        result.reason = self.node_shutdown.reason_of(result.reason, now)
        self._record_answer(progress, request, result, now - started)
        return self.dialect.response(result, progress.request_id)

    def may_overlap(self, request: message.Request) -> bool:
        """Returns whether a call may run beside others that its caller has sent before it.

        It must be one that may be repeated: its caller sends it again if an earlier answer closes
        the connection.
        """
        try:
            return self._match(self.routes.routes(), request).route.repeatable
        except errors.CallError:
            return False

    def _record_answer(
        self, progress: _Progress, request: message.Request, result: answer.Answer, seconds: float
    ) -> None:
        self.record_answer(
            AnswerSummary(
                progress.team, progress.importance, result.reason, result.verdict, seconds
            )
        )
        if result.reason:
            refused = result.verdict is verdict.Verdict.NOT_RUN
            self.log.emit(
                "call.refused" if refused else "call.failed",
                progress.request_id,
                result.reason,
                verdict=result.verdict.value,
                path=request.path,
                team=progress.team,
                importance=progress.importance,
                service=progress.service,
                told=progress.error_text,
                configuration=progress.configuration,
                ms=round(1000 * seconds),
            )
        elif 0 < progress.target_s < seconds:
            self.log.emit(
                "call.late",
                progress.request_id,
                "target",
                path=request.path,
                team=progress.team,
                importance=progress.importance,
                service=progress.service,
                configuration=progress.configuration,
                ms=round(1000 * seconds),
                target_ms=round(1000 * progress.target_s),
                target=result.host,
                load=round(result.report.load, 3) if result.report else None,
            )

    async def _answer(
        self, progress: _Progress, request: message.Request, token: cancellation.Token
    ) -> answer.Answer:
        if request.target == ISSUE_KEY_PATH:
            return self._issue_idempotency_key(progress, request)
        try:
            admitted = await self._admit(progress, request)
        except errors.CallError as error:
            if progress.runs_at_most_once:
                # The claim was not looked up, so an earlier call with the key may have run.
                error.verdict = verdict.Verdict.MAY_HAVE_RUN
            raise
        except Exception as error:
            if progress.runs_at_most_once:
                raise
            _log.exception("a call failed before it was sent")
            raise answer.fault_before_send() from error
        try:
            result = await self._send(admitted, request, token)
        except errors.CallError as error:
            progress.error_text = str(error)
            result = answer.from_error(error)
        if result.verdict is verdict.Verdict.NOT_RUN and admitted.context.team:
            self.team_rates.give_back(
                admitted.context.team, clock.boot_time(), admitted.token_taken_at
            )
        return result

    def _issue_idempotency_key(
        self, progress: _Progress, request: message.Request
    ) -> answer.Answer:
        """Returns a new idempotency key, whose home is this node, to the owner of an API key."""
        if request.method != b"POST":
            raise errors.CallError(
                f"accepted method on '{ISSUE_KEY_PATH.decode()}': POST", status=405, reason="route"
            )
        authorization = request.header(b"authorization")
        now = time.monotonic()
        progress.team = self.key_ring.check(
            authorization.decode("latin-1") if authorization else None, now
        ).team
        response = message.Response(
            201, [(b"content-type", b"text/plain")], self.at_most_once.issue().encode()
        )
        return answer.Answer(response, verdict.Verdict.RUN)

    async def _admit(self, progress: _Progress, request: message.Request) -> AdmittedCall:
        now = time.monotonic()
        # Until the route is known, an earlier call with the key may have run.
        progress.runs_at_most_once = request.header(IDEMPOTENCY_HEADER) is not None
        table = self.routes.routes()
        progress.configuration = table.version
        target = self._match(table, request)
        route = target.route
        progress.service = service = self._choose_service(route)
        progress.target_s = route.target_s
        progress.runs_at_most_once = progress.runs_at_most_once and not route.repeatable
        team = progress.team = self._authenticate_team(route, request, now)
        team_settings = table.text.teams.get(team)
        importance = route.importance
        is_nested_call = route.open and self.dialect.is_nested_call(request)
        if is_nested_call:
            # Refusing this call would waste the work already done for the request it belongs to.
            importance = call.Importance.CRITICAL
        elif team_settings is not None and team_settings.importance is not None:
            importance = team_settings.importance
        progress.importance = _IMPORTANCE_NAMES[importance]
        deadline = _received_at(request, now) + self._time_limit_s(route, request)
        progress.running.deadline = deadline
        self.node_shutdown.check(progress.request_id, deadline, now)
        if is_nested_call:
            self.call_graph.record_call(self.origin, service)
            if self.attribution is not None:
                self._record_nested_call(self.attribution, route, request, now)
        else:
            self.thresholds.check(progress.request_id, importance, target.services, now, team)
            weight = team_settings.weight if team_settings else 1.0
            self.tree_shedding.check(
                progress.request_id, importance, service, now, route.name, team, weight
            )
        token_taken_at = clock.boot_time()
        if team:
            await self.team_rates.take(team, token_taken_at)
        context = call.CallContext(
            request_id=progress.request_id,
            team=team,
            importance=importance,
            deadline=self.node_shutdown.limit(deadline),
            depth=int(is_nested_call),
            repeatable=route.repeatable,
            weight=team_settings.weight if team_settings else 1.0,
            virtual_host=_host_of(request) if route.host else "",
            origin=self.origin,
            unattributed=is_nested_call,
        )
        return AdmittedCall(target, service, context, token_taken_at)

    def _match(self, table: routing.RouteTable, request: message.Request) -> routing.Target:
        """Returns the route of a request; raises CallError if there is none."""
        return table.match(request.method.decode("latin-1"), request.path, _host_of(request))

    def _record_nested_call(
        self,
        attribution: call_attribution.CallAttribution,
        route: operator_text.Route,
        request: message.Request,
        now: float,
    ) -> None:
        """Records a call of the upstream with the deadline that the upstream gave it."""
        left_s = self.dialect.time_left_s(request)
        if left_s is None:
            left_s = route.timeout_s
        attribution.record_call(route.name, _received_at(request, now) + left_s, now)

    def _choose_service(self, route: operator_text.Route) -> str:
        """Returns the route's service, or one of several at random by their weights."""
        if not route.shares:
            return route.service
        weights = [share.weight for share in route.shares]
        return self.rng.choices(route.services, weights)[0]

    def _time_limit_s(self, route: operator_text.Route, request: message.Request) -> float:
        """Returns the time limit in seconds: the lower of the route's and the caller's timeout."""
        caller_timeout_s = self.dialect.time_left_s(request)
        return (
            route.timeout_s if caller_timeout_s is None else min(route.timeout_s, caller_timeout_s)
        )

    def _authenticate_team(
        self, route: operator_text.Route, request: message.Request, now: float
    ) -> str:
        if route.open:
            return ""
        authorization = request.header(b"authorization")
        return self.key_ring.check(
            authorization.decode("latin-1") if authorization else None, now
        ).team

    async def _send(
        self, admitted: AdmittedCall, request: message.Request, token: cancellation.Token
    ) -> answer.Answer:
        fields = headers.for_upstream(request.headers)
        forwarded = message.Request(request.method, request.target, fields, request.body)
        route = admitted.target.route
        outgoing = dispatch.OutgoingCall(admitted.service, admitted.context, forwarded, route.name)
        allowance = call.Allowance(route.attempts - 1 if route.attempts else self.retries)
        idempotency_key = request.header(IDEMPOTENCY_HEADER)
        if idempotency_key is None or route.repeatable:
            return await self.dispatcher.send(outgoing, allowance, token)
        claimed = at_most_once.ClaimedCall(idempotency_key.decode("latin-1"), route.name, outgoing)
        return await self.at_most_once.send(claimed, allowance, token)


def _host_of(request: message.Request) -> str:
    return (request.header(b"host") or b"").decode("latin-1")


def _received_at(request: message.Request, now: float) -> float:
    """Returns the time from which the time limits of a call count, `now` if it isn't known.

    A caller's time runs while earlier requests on its connection are answered.
    """
    return now if request.received_at is None else request.received_at
