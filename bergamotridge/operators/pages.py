"""The pages of the operators' port."""

from collections.abc import Callable

import orjson
import werkzeug
from werkzeug import exceptions

from bergamotridge import errors, events, metrics
from bergamotridge.operators import event_lines, port, signature, status

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
EVENTS_PATH = "/events"
WITHDRAW_PATH = "/keys/withdraw"
JSON = "application/json"
JSON_LINES = "application/x-ndjson"


def metrics_page(source: metrics.Metrics) -> port.Page:
    """Returns `GET /metrics`: all metrics in the form that a Prometheus server asks for."""

    def answer(request: werkzeug.Request) -> werkzeug.Response:
        rendered = source.render(request.headers.getlist("Accept"))
        return werkzeug.Response(rendered.body, content_type=rendered.content_type)

    return port.Page("GET", METRICS_PATH, answer)


def status_page(read: Callable[[], status.Status]) -> port.Page:
    """Returns `GET /status`: what the node says of itself, as JSON."""

    def answer(_: werkzeug.Request) -> werkzeug.Response:
        return werkzeug.Response(status.encode(read()), content_type=JSON)

    return port.Page("GET", STATUS_PATH, answer)


def events_page(log: events.EventLog) -> port.Page:
    """Returns `GET /events?request_id=&since=`: the kept events as JSON lines.

    `since` is a stamp, or milliseconds of wall time; only later events are given.
    """

    def answer(request: werkzeug.Request) -> werkzeug.Response:
        recent = log.recent(request.args.get("request_id", ""))
        since = request.args.get("since", "")
        if since:
            try:
                after = event_lines.parse_since(since)
            except ValueError:
                message = f"since is '{since}'; accepted: a stamp, or milliseconds\n"
                return werkzeug.Response(message, 400)
            recent = [event for event in recent if event.stamp > after]
        return werkzeug.Response(event_lines.encode(recent), content_type=JSON_LINES)

    return port.Page("GET", EVENTS_PATH, answer)


def withdraw_page(fleet_secret: str, withdraw: Callable[[str], None]) -> port.Page:
    """Returns `POST /keys/withdraw` with body `{"key_id": ID}`, signed with the fleet secret.

    A signed request may be sent again by anyone who saw it; a withdrawal has the same effect
    however often it comes.

    Args:
        fleet_secret: Secret that the operators share with the nodes.
        withdraw: Puts the withdrawal of a key id in force here and spreads it; raises
            NotFoundError if there is no such key.
    """

    def answer(request: werkzeug.Request) -> werkzeug.Response:
        body = request.get_data()
        given = request.headers.get(signature.HEADER, "")
        if not signature.is_valid(fleet_secret, WITHDRAW_PATH, body, given):
            message = f"header '{signature.HEADER}' does not match the fleet secret\n"
            return werkzeug.Response(message, 403)
        key_id = _key_id(body)
        try:
            withdraw(key_id)
        except errors.NotFoundError as error:
            return werkzeug.Response(f"{error}\n", 404)
        return werkzeug.Response(orjson.dumps({"key_id": key_id}), content_type=JSON)

    return port.Page("POST", WITHDRAW_PATH, answer)


def _key_id(body: bytes) -> str:
    try:
        parsed = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise exceptions.BadRequest("the body is not JSON") from error
    key_id = parsed.get("key_id") if isinstance(parsed, dict) else None
    if not isinstance(key_id, str) or not key_id:
        raise exceptions.BadRequest('accepted: {"key_id": ID}')
    return key_id
