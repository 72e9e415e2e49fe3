"""The HTTP port for callers: each call is admitted here, once, for the whole fleet."""

import random
import time
from collections.abc import Callable
from typing import Protocol

import attrs

from bergamotridge import answer, call, errors, events, headers, verdict
from bergamotridge.callers import dialect, keys, once, rates, shedding, trees
from bergamotridge.nodes import call_graph, dispatch, routing
from bergamotridge.operators import text
from bergamotridge.util import cancellation, message

IDEMPOTENCY_HEADER = b"idempotency-key"
ISSUE_PATH = b"/_bergamotridge/idempotency-key"


_CLASS_NAMES = tuple(importance.name.lower() for importance in call.Importance)


class Routes(Protocol):
    """Gives the routes now in force."""

    def routes(self) -> routing.RouteTable:
        """Returns the table; raises CallError 503 before the first configuration."""


class KeyRing(Protocol):
    """Knows the keys of teams."""

    def check(self, authorization: str | None, now: float) -> keys.Key:
        """Returns the key in an Authorization header; raises CallError 401."""


@attrs.frozen
class Admitted:
    """A call that has been let in at the monotonic time `at` and goes to `service`."""

    target: routing.Target
    service: str
    context: call.CallContext
    at: float


@attrs.frozen
class Seen:
    """What is counted of one answer to a caller.

    Attributes:
        team: Team of the call, "" if none is known.
        importance: Name of its class of importance, "" if it matched no route.
        reason: Why it was refused or failed, "" if an upstream answered.
        verdict: Whether it may have run.
        seconds: Time that it took.
    """

    team: str
    importance: str
    reason: str
    verdict: verdict.Verdict
    seconds: float


@attrs.define
class _Progress:
    """How far a call has come, for what is counted and told of it."""

    request_id: str
    team: str = ""
    importance: str = ""
    service: str = ""
    refusal: str = ""
    claims: bool = False
    target_s: float = 0.0
    configuration: int = 0


@attrs.frozen
class CallerPort:
    """Answers callers.

    Order of the checks: route, key, threshold of its importance, rate of its team. Nothing is
    charged to the team for a call that is refused before the last.
    """

    routes: Routes
    key_ring: KeyRing
    team_rates: rates.TeamRates
    thresholds: shedding.ThresholdTable
    trees: trees.TreeShedding
    graph: call_graph.CallGraph
    once: once.OnceDispatcher
    dispatcher: dispatch.Dispatcher
    log: events.EventLog
    retries: int
    count: Callable[[Seen], None]
    speech: dialect.CallerDialect = attrs.field(factory=dialect.OwnDialect)
    origin: str = ""
    rng: random.Random = attrs.field(factory=random.Random)

    async def handle(self, request: message.Request, token: cancellation.Token) -> message.Response:
        """Answers one call; a handler for `httpd.Server`."""
        started = time.monotonic()
        progress = _Progress(self.speech.request_id(request))
        try:
            given = await self._answer(progress, request, token)
        except errors.CallError as error:
            progress.refusal = str(error)
            given = answer.refuse(error)
        self._tell(progress, request, given, time.monotonic() - started)
        return self.speech.response(given, progress.request_id)

    def _tell(
        self, progress: _Progress, request: message.Request, given: answer.Answer, seconds: float
    ) -> None:
        self.count(Seen(progress.team, progress.importance, given.reason, given.verdict, seconds))
        if given.reason:
            refused = given.verdict is verdict.Verdict.NOT_RUN
            self.log.emit(
                "call.refused" if refused else "call.failed",
                progress.request_id,
                given.reason,
                verdict=given.verdict.value,
                path=request.path,
                team=progress.team,
                importance=progress.importance,
                service=progress.service,
                told=progress.refusal,
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
                target=given.host,
                load=round(given.report.load, 3) if given.report else None,
            )

    async def _answer(
        self, progress: _Progress, request: message.Request, token: cancellation.Token
    ) -> answer.Answer:
        if request.target == ISSUE_PATH:
            return self._issue(progress, request)
        try:
            admitted = await self._admit(progress, request)
        except errors.CallError as error:
            if progress.claims:
                # Refused before its claim was looked up: an earlier call with the key may have run.
                error.verdict = verdict.Verdict.MAY_HAVE_RUN
            raise
        try:
            given = await self._send(admitted, request, token)
        except errors.CallError as error:
            progress.refusal = str(error)
            given = answer.refuse(error)
        if given.verdict is verdict.Verdict.NOT_RUN and admitted.context.team:
            self.team_rates.give_back(admitted.context.team, time.monotonic(), admitted.at)
        return given

    def _issue(self, progress: _Progress, request: message.Request) -> answer.Answer:
        """Hands out an idempotency key whose home is this node to the owner of a team's key."""
        if request.method != b"POST":
            raise errors.CallError(
                f"accepted on '{ISSUE_PATH.decode()}': POST", status=405, reason="route"
            )
        given = request.header(b"authorization")
        now = time.monotonic()
        progress.team = self.key_ring.check(given.decode("latin-1") if given else None, now).team
        response = message.Response(
            201, [(b"content-type", b"text/plain")], self.once.issue().encode()
        )
        return answer.Answer(response, verdict.Verdict.RUN)

    async def _admit(self, progress: _Progress, request: message.Request) -> Admitted:
        now = time.monotonic()
        table = self.routes.routes()
        progress.configuration = table.version
        host = (request.header(b"host") or b"").decode("latin-1")
        target = table.match(request.method.decode("latin-1"), request.path, host)
        route = target.route
        progress.service = service = self._service(route)
        progress.target_s = route.target_s
        progress.claims = not route.repeatable and request.header(IDEMPOTENCY_HEADER) is not None
        team = progress.team = self._team(route, request, now)
        declared = table.text.teams.get(team)
        importance = route.importance
        inner = route.open and self.speech.serves_running_work(request)
        if inner:
            # What was already spent on the request above is lost if this call is turned away.
            importance = call.Importance.CRITICAL
        elif declared is not None and declared.importance is not None:
            importance = declared.importance
        progress.importance = _CLASS_NAMES[importance]
        deadline = now + self._time_limit(route, request)
        if inner:
            self.graph.learn(self.origin, service)
        else:
            self.thresholds.check(progress.request_id, importance, target.services, now, team)
            self.trees.check(progress.request_id, importance, service, now)
        if team:
            await self.team_rates.take(team, now)
        context = call.CallContext(
            request_id=progress.request_id,
            team=team,
            importance=importance,
            deadline=deadline,
            depth=int(inner),
            repeatable=route.repeatable,
            weight=declared.weight if declared else 1.0,
            virtual_host=host,
            origin=self.origin,
            unattributed=inner,
        )
        return Admitted(target, service, context, now)

    def _service(self, route: text.Route) -> str:
        if not route.shares:
            return route.service
        weights = [share.weight for share in route.shares]
        return self.rng.choices(route.services, weights)[0]

    def _time_limit(self, route: text.Route, request: message.Request) -> float:
        """Returns the seconds a call may take: the route's timeout, or less if the caller asks."""
        given_s = self.speech.time_left_s(request)
        return route.timeout_s if given_s is None else min(route.timeout_s, given_s)

    def _team(self, route: text.Route, request: message.Request, now: float) -> str:
        if route.open:
            return ""
        given = request.header(b"authorization")
        return self.key_ring.check(given.decode("latin-1") if given else None, now).team

    async def _send(
        self, admitted: Admitted, request: message.Request, token: cancellation.Token
    ) -> answer.Answer:
        fields = headers.for_upstream(request.headers)
        clean = message.Request(request.method, request.target, fields, request.body)
        route = admitted.target.route
        outgoing = dispatch.Outgoing(admitted.service, admitted.context, clean)
        allowance = call.Allowance(route.attempts - 1 if route.attempts else self.retries)
        idempotency_key = request.header(IDEMPOTENCY_HEADER)
        if idempotency_key is None or route.repeatable:
            return await self.dispatcher.send(outgoing, allowance, token)
        claimed = once.ClaimedCall(idempotency_key.decode("latin-1"), route.name, outgoing)
        return await self.once.send(claimed, allowance, token)
