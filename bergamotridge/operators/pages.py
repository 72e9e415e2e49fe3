"""The pages that the operators' port serves."""

from collections.abc import Callable

import attrs
import orjson
import werkzeug
from werkzeug import exceptions

from bergamotridge import errors, events, metrics
from bergamotridge.nodes import confirmation
from bergamotridge.operators import (
    event_lines,
    page_server,
    route_preview,
    signature,
    status,
)

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
EVENTS_PATH = "/events"
PREVIEW_PATH = "/preview"
WITHDRAW_PATH = "/keys/withdraw"
JSON_CONTENT_TYPE = "application/json"
JSON_LINES_CONTENT_TYPE = "application/x-ndjson"


def metrics_page(source: metrics.Metrics) -> page_server.Page:
    """Returns `GET /metrics`: all metrics in the exposition format that the request accepts."""

    def answer(request: werkzeug.Request) -> werkzeug.Response:
        rendered = source.render(request.headers.getlist("Accept"))
        return werkzeug.Response(rendered.body, content_type=rendered.content_type)

    return page_server.Page("GET", METRICS_PATH, answer)


def status_page(read_status: Callable[[], status.Status]) -> page_server.Page:
    """Returns `GET /status`: the status of the node as JSON."""

    def answer(_: werkzeug.Request) -> werkzeug.Response:
        return werkzeug.Response(status.encode(read_status()), content_type=JSON_CONTENT_TYPE)

    return page_server.Page("GET", STATUS_PATH, answer)


def events_page(log: events.EventLog) -> page_server.Page:
    """Returns `GET /events?request_id=&since=`: the stored events as JSON lines.

    `since` is a stamp or milliseconds of wall time; only later events are returned.
    """

    def answer(request: werkzeug.Request) -> werkzeug.Response:
        recent = log.recent(request.args.get("request_id", ""))
        since = request.args.get("since", "")
        if since:
            try:
                after = event_lines.parse_since(since)
            except ValueError:
                message = f"since is '{since}'; accepted: a stamp, or milliseconds of wall time\n"
                return werkzeug.Response(message, 400)
            recent = [event for event in recent if event.stamp > after]
        return werkzeug.Response(event_lines.encode(recent), content_type=JSON_LINES_CONTENT_TYPE)

    return page_server.Page("GET", EVENTS_PATH, answer)


def preview_page(
    preview: Callable[[route_preview.Query], route_preview.RoutePreview],
) -> page_server.Page:
    """Returns `GET /preview?method=&path=&virtual_host=&team=`: where a request would go, as JSON.

    Args:
        preview: Tells where a request would go now; sends nothing.
    """

    def answer(request: werkzeug.Request) -> werkzeug.Response:
        given = request.args
        if not given.get("path", "").startswith("/"):
            return werkzeug.Response(
                "path is missing; accepted: a path that begins with '/'\n", 400
            )
        query = route_preview.Query(
            given.get("method", "GET"),
            given["path"],
            given.get("virtual_host", ""),
            given.get("team", ""),
        )
        body = route_preview.encode(preview(query))
        return werkzeug.Response(body, content_type=JSON_CONTENT_TYPE)

    return page_server.Page("GET", PREVIEW_PATH, answer)


def withdraw_page(
    fleet_secret: str, withdraw: Callable[[str], confirmation.Knowledge]
) -> page_server.Page:
    """Returns `POST /keys/withdraw` with body `{"key_id": ID}`, signed with the fleet secret.

    The answer is the JSON form of `confirmation.Knowledge`: who knows of the withdrawal.

    Anyone who intercepted a signed request can replay it; that does no harm, since a withdrawal is
    idempotent.

    Args:
        fleet_secret: Secret that the operators share with the nodes.
        withdraw: Withdraws a key id on this node, waits until others know of it, and returns who
            does; raises NotFoundError if there is no such key.
    """

    def answer(request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_data()
        given = request.headers.get(signature.HEADER, "")
        if not signature.is_valid(fleet_secret, WITHDRAW_PATH, body, given):
            message = (
                f"header '{signature.HEADER}' does not match the request; "
                f"sign it with the fleet secret\n"
            )
            return werkzeug.Response(message, 403)
        key_id = _parse_key_id(body)
        try:
            knowledge = withdraw(key_id)
        except errors.NotFoundError as error:
            return werkzeug.Response(f"{error}\n", 404)
        told = orjson.dumps({"key_id": key_id, **attrs.asdict(knowledge)})
        return werkzeug.Response(told, content_type=JSON_CONTENT_TYPE)

    return page_server.Page("POST", WITHDRAW_PATH, answer)


def _parse_key_id(body: bytes) -> str:
    try:
        parsed = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise exceptions.BadRequest('the body is not JSON; accepted: {"key_id": ID}') from error
    key_id = parsed.get("key_id") if isinstance(parsed, dict) else None
    if not isinstance(key_id, str) or not key_id:
        raise exceptions.BadRequest('the body holds no key id; accepted: {"key_id": ID}')
    return key_id
