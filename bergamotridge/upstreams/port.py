"""The loopback port for the local upstream: announcements and calls to dependencies."""

import time
from collections.abc import Callable
from typing import Protocol

import attrs
import logbook
import orjson

from bergamotridge import answer, call, errors, events, headers, malformed, verdict
from bergamotridge.nodes import dispatch, record, routing
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import dialect, live_calls
from bergamotridge.util import cancellation, excerpt, fields, message

_log = logbook.Logger(__name__)

ANNOUNCE_PATH = b"/_bergamotridge/announce"
HEARTBEAT_S = 0.5
_STATES = {
    "starting": record.State.STARTING,
    "ready": record.State.READY,
    "draining": record.State.DRAINING,
}
_NUMBER_FIELDS = ("incarnation", "slots", "connections", "load")


class Routes(Protocol):
    """Provider of the current route table."""

    def routes(self) -> routing.RouteTable:
        """Returns the route table; raises CallError 503 before the first configuration."""


@attrs.frozen
class UpstreamPort:
    """Handles the requests of the local upstream.

    Attributes:
        calls: Registry of the calls that the upstream is running.
        dispatcher: Sends calls to dependencies.
        on_announcement: Callback, run with each announcement and the monotonic time in seconds.
        routes: Provider of the current route table.
        log: Event log for failed calls to dependencies.
        limit_deadline: Returns the deadline, in monotonic seconds, of a call that is taken now and
            may otherwise run until the argument; earlier in a planned stop of the node.
        on_malformed: Callback, run with a report of each announcement that cannot be read.
    """

    calls: live_calls.LiveCalls
    dispatcher: dispatch.Dispatcher
    on_announcement: Callable[[announcements.Announcement, float], None]
    routes: Routes
    log: events.EventLog
    limit_deadline: Callable[[float], float]
    on_malformed: malformed.OnMalformed = malformed.ignore

    async def handle(self, request: message.Request, token: cancellation.Token) -> message.Response:
        """Answers one request of the upstream; used as handler of `httpd.Server`."""
        if request.target == ANNOUNCE_PATH:
            return self._handle_announcement(request)
        parent = self._find_parent(request)
        try:
            result = await self._call_dependency(parent, request, token)
        except errors.CallError as error:
            result = answer.from_error(error)
        if result.reason:
            self._emit_failure(parent, request, result)
        response_headers = [
            *result.response.headers,
            (answer.VERDICT_HEADER, result.verdict.value.encode()),
        ]
        return message.Response(result.response.status, response_headers, result.response.body)

    def _handle_announcement(self, request: message.Request) -> message.Response:
        try:
            announcement = parse_announcement(request.body)
        except errors.MalformedEntryError as error:
            self.on_malformed(malformed.MalformedEntry(announcements.SOURCE, "", error))
            return message.Response(400, [], f"{error}\n".encode())
        self.on_announcement(announcement, time.monotonic())
        body = orjson.dumps({"heartbeat_s": HEARTBEAT_S})
        return message.Response(200, [(b"content-type", b"application/json")], body)

    def _emit_failure(
        self, parent: live_calls.LiveCall | None, request: message.Request, result: answer.Answer
    ) -> None:
        self.log.emit(
            (
                "dependency.refused"
                if result.verdict is verdict.Verdict.NOT_RUN
                else "dependency.failed"
            ),
            parent.context.request_id if parent else "",
            result.reason,
            verdict=result.verdict.value,
            service=parent.service if parent else "",
            path=request.path,
        )

    async def _call_dependency(
        self,
        parent: live_calls.LiveCall | None,
        request: message.Request,
        token: cancellation.Token,
    ) -> answer.Answer:
        if parent is None:
            raise _unknown_call_error()
        try:
            outgoing = self._prepare(parent, request)
        except errors.CallError:
            raise
        except Exception as error:
            _log.exception("a call of the upstream failed before it was sent")
            raise answer.fault_before_send() from error
        registration = parent.token.on_cancel(token.cancel)
        try:
            return await self.dispatcher.send(outgoing, parent.allowance, token)
        finally:
            parent.token.remove(registration)

    def _prepare(
        self, parent: live_calls.LiveCall, request: message.Request
    ) -> dispatch.OutgoingCall:
        """Returns the call to send for a request of the upstream; raises CallError."""
        target = self.routes.routes().match(request.method.decode("ascii"), request.path)
        self._check_dependency(parent, target)
        now = time.monotonic()
        deadline = min(parent.context.deadline, now + target.route.timeout_s)
        context = attrs.evolve(
            parent.context,
            deadline=self.limit_deadline(deadline),
            depth=parent.context.depth + 1,
            repeatable=target.route.repeatable,
        )
        forwarded_headers = headers.for_upstream(request.headers)
        forwarded = message.Request(request.method, request.target, forwarded_headers, request.body)
        return dispatch.OutgoingCall(target.route.service, context, forwarded, target.route.name)

    def _find_parent(self, request: message.Request) -> live_calls.LiveCall | None:
        call_id = request.header(dialect.CALL_HEADER) or b""
        return self.calls.find(call_id.decode("latin-1"))

    def _check_dependency(self, parent: live_calls.LiveCall, target: routing.Target) -> None:
        services = self.routes.routes().text.services
        service = services.get(parent.service)
        if service is None or target.route.service not in service.depends_on:
            raise errors.CallError(
                f"service '{parent.service}' does not list '{target.route.service}' "
                f"in depends_on; add it in the operator's text if the call is intended",
                status=403,
                reason="dependency",
            )


def _unknown_call_error() -> errors.CallError:
    return errors.CallError(
        f"header '{call.CALL_HEADER}' does not identify a call that is running on this host; "
        f"send the value that was received with the call",
        status=401,
        reason="call-id",
    )


def parse_announcement(body: bytes) -> announcements.Announcement:
    """Returns the announcement in a JSON body; raises MalformedEntryError with the invalid key."""
    try:
        report = fields.table("the body", orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise errors.MalformedEntryError(f"the body is not valid JSON: {error}") from error
    state = report.get("state")
    if not isinstance(state, str) or state not in _STATES:
        raise errors.MalformedEntryError(
            f"'state' is {excerpt.quote(state)}; accepted: {', '.join(_STATES)}"
        )
    return announcements.Announcement(
        service=fields.text("service", report.get("service")),
        address=report.get("address"),
        state=_STATES[state],
        **{name: report.get(name) for name in _NUMBER_FIELDS},
    )
