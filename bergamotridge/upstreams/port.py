"""The loopback port for the local upstream: its announcements and its calls to dependencies."""

import time
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import orjson

from bergamotridge import answer, call, errors, events, headers, settings, verdict
from bergamotridge.nodes import dispatch, record, routing
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import dialect, live
from bergamotridge.util import cancellation, message

ANNOUNCE_PATH = b"/_bergamotridge/announce"
HEARTBEAT_S = 0.5
_STATES = {
    "starting": record.State.STARTING,
    "ready": record.State.READY,
    "draining": record.State.DRAINING,
}
_FIELDS: dict[str, tuple[type, ...]] = {
    "service": (str,),
    "address": (str,),
    "state": (str,),
    "incarnation": (int,),
    "slots": (int,),
    "connections": (int,),
    "load": (int, float),
}
_BOUNDS: tuple[tuple[str, str, Callable[[Any], bool]], ...] = (
    ("service", "a name that is not empty", bool),
    ("address", "IP:PORT", settings.is_address),
    ("slots", "at least 1", lambda value: value >= 1),
    ("connections", "at least 1", lambda value: value >= 1),
    ("load", "a number of at least 0", lambda value: 0 <= value < float("inf")),
)


class Routes(Protocol):
    """Gives the routes now in force."""

    def routes(self) -> routing.RouteTable:
        """Returns the table; raises CallError 503 before the first configuration."""


@attrs.frozen
class UpstreamPort:
    """Answers the local upstream."""

    calls: live.LiveCalls
    dispatcher: dispatch.Dispatcher
    announced: Callable[[announcements.Announcement, float], None]
    routes: Routes
    log: events.EventLog

    async def handle(self, request: message.Request, token: cancellation.Token) -> message.Response:
        """Answers one request of the upstream; a handler for `httpd.Server`."""
        if request.target == ANNOUNCE_PATH:
            return self._announce(request)
        parent = self._parent(request)
        try:
            given = await self._call(parent, request, token)
        except errors.CallError as error:
            given = answer.refuse(error)
        if given.reason:
            self._tell(parent, request, given)
        fields = [*given.response.headers, (answer.VERDICT_HEADER, given.verdict.value.encode())]
        return message.Response(given.response.status, fields, given.response.body)

    def _announce(self, request: message.Request) -> message.Response:
        try:
            announcement = read_announcement(request.body)
        except ValueError as error:
            return message.Response(400, [], f"{error}\n".encode())
        self.announced(announcement, time.monotonic())
        body = orjson.dumps({"heartbeat_s": HEARTBEAT_S})
        return message.Response(200, [(b"content-type", b"application/json")], body)

    def _tell(
        self, parent: live.LiveCall | None, request: message.Request, given: answer.Answer
    ) -> None:
        self.log.emit(
            (
                "dependency.refused"
                if given.verdict is verdict.Verdict.NOT_RUN
                else "dependency.failed"
            ),
            parent.context.request_id if parent else "",
            given.reason,
            verdict=given.verdict.value,
            service=parent.service if parent else "",
            path=request.path,
        )

    async def _call(
        self,
        parent: live.LiveCall | None,
        request: message.Request,
        token: cancellation.Token,
    ) -> answer.Answer:
        if parent is None:
            raise _unknown_call()
        target = self.routes.routes().match(request.method.decode("ascii"), request.path)
        self._check_dependency(parent, target)
        now = time.monotonic()
        context = attrs.evolve(
            parent.context,
            deadline=min(parent.context.deadline, now + target.route.timeout_s),
            depth=parent.context.depth + 1,
            repeatable=target.route.repeatable,
        )
        fields = headers.for_upstream(request.headers)
        clean = message.Request(request.method, request.target, fields, request.body)
        outgoing = dispatch.Outgoing(target.route.service, context, clean)
        registration = parent.token.on_cancel(token.cancel)
        try:
            return await self.dispatcher.send(outgoing, parent.allowance, token)
        finally:
            parent.token.remove(registration)

    def _parent(self, request: message.Request) -> live.LiveCall | None:
        call_id = request.header(dialect.CALL_HEADER) or b""
        return self.calls.find(call_id.decode("latin-1"))

    def _check_dependency(self, parent: live.LiveCall, target: routing.Target) -> None:
        services = self.routes.routes().text.services
        service = services.get(parent.service)
        if service is None or target.route.service not in service.depends_on:
            raise errors.CallError(
                f"service '{parent.service}' does not list '{target.route.service}' "
                f"in its depends_on",
                status=403,
                reason="dependency",
            )


def _unknown_call() -> errors.CallError:
    return errors.CallError(
        f"header '{call.CALL_HEADER}' does not name a call that is running here; "
        f"send the value that came with the call",
        status=401,
        reason="call-id",
    )


def read_announcement(body: bytes) -> announcements.Announcement:
    """Returns the announcement in a JSON body; raises ValueError that names the key at fault."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"announcement: not valid JSON: {error}") from error
    if not isinstance(fields, dict):
        raise ValueError("announcement: must be a JSON object")
    for key, kinds in _FIELDS.items():
        value = fields.get(key)
        if not isinstance(value, kinds) or isinstance(value, bool):
            accepted = " or ".join(kind.__name__ for kind in kinds)
            raise ValueError(f"announcement: key '{key}' is {value!r}; accepted: {accepted}")
    for key, accepted, good in _BOUNDS:
        if not good(fields[key]):
            raise ValueError(f"announcement: key '{key}' is {fields[key]!r}; accepted: {accepted}")
    if fields["state"] not in _STATES:
        raise ValueError(
            f"announcement: key 'state' is {fields['state']!r}; accepted: {', '.join(_STATES)}"
        )
    known = {key: fields[key] for key in _FIELDS}
    return announcements.Announcement(**{**known, "state": _STATES[fields["state"]]})
