"""Headers between nodes: the context of a relayed call, and the report that its answer carries."""

import hashlib
import hmac

import attrs
import orjson

from bergamotridge import answer, call, errors, verdict
from bergamotridge.nodes import load
from bergamotridge.upstreams import notice
from bergamotridge.util import excerpt, fields, hlc, message

CONTEXT_HEADER = call.CONTEXT_HEADER.lower().encode()
REPORT_HEADER = b"bergamotridge-report"
NOTICE_HEADER = b"bergamotridge-upstream-notice"
MAX_TIME_LEFT_S = 1e9
MAX_COUNT = 1_000_000  # Of retries, and of calls above one another.
MAX_WEIGHT = 1e300
_RELAY_PURPOSE = b"relay"  # HMAC input that derives the relay token from the fleet secret.
_IMPORTANCE_BY_VALUE = {importance.value: importance for importance in call.Importance}


class ContextError(ValueError):
    """A context header is missing or malformed, or does not hold the fleet's relay token."""


@attrs.define
class RelayedCall:
    """A call that one node relays to another.

    Attributes:
        service: Service that the call is for.
        context: Context of the call, with the deadline on the local clock.
        retries: Retries granted to this call and all calls that it causes.
        stamp: Hybrid logical time of the sender, None if unknown.
        claim: Idempotency key under which the receiver dispatches the call, or "" if the
            receiver's own upstream runs it.
        route: Route of the call if `claim` is set, else "".
        upstream_notice: What the sender knows of the upstream on the receiver's host, None if
            nothing.
    """

    service: str
    context: call.CallContext
    retries: int
    stamp: hlc.Stamp | None
    claim: str = ""
    route: str = ""
    upstream_notice: notice.UpstreamNotice | None = None


def _stamp_fields(stamp: hlc.Stamp | None) -> tuple[int, int]:
    return (stamp.millis, stamp.counter) if stamp is not None else (0, 0)


def _parse_stamp(millis: object, counter: object) -> hlc.Stamp | None:
    """Returns a received stamp, or None if `millis` is 0, which stands for an unknown time.

    The host of the stamp is not sent. It is left empty, as it only orders stamps of equal time.
    """
    stamp = hlc.received(millis, counter, "")
    return stamp if stamp.millis else None


def _check_texts(*values: object) -> None:
    for value in values:
        if not isinstance(value, str):
            raise errors.MalformedEntryError(f"{excerpt.quote(value)} is no text")


def relay_token(fleet_secret: str) -> str:
    """Returns the token by which nodes of one fleet authenticate to each other's relay port."""
    return hmac.new(fleet_secret.encode(), _RELAY_PURPOSE, hashlib.sha256).hexdigest()


def encode(token: str, relayed: RelayedCall, now: float) -> message.Header:
    """Returns the context header for a call that is sent at `now` (monotonic seconds)."""
    context = relayed.context
    values = [
        token,
        relayed.service,
        context.request_id,
        context.team,
        int(context.importance),
        context.time_left(now),
        context.depth,
        context.repeatable,
        context.weight,
        context.virtual_host,
        context.origin,
        relayed.retries,
        *_stamp_fields(relayed.stamp),
        relayed.claim,
        relayed.route,
        context.unattributed,
    ]
    return CONTEXT_HEADER, orjson.dumps(values)


def decode(token: str, value: bytes | None, now: float) -> RelayedCall:
    """Returns the call that a context header describes.

    Args:
        token: The fleet's relay token.
        value: Value of the header, or None if it is missing.
        now: Monotonic time in seconds, to which the time left is added for the deadline.

    Raises:
        ContextError: The header is missing or malformed, or holds another token.
    """
    if value is None:
        raise ContextError("no context header; only nodes send to the relay port")
    try:
        token_text, service, request_id, team, importance, left_s, depth, repeatable, *rest = (
            orjson.loads(value)
        )
        weight, virtual_host, origin, retries, millis, counter, claim, route, unattributed = rest
        _check_texts(token_text, service, request_id, team, virtual_host, origin, claim, route)
        importance = _IMPORTANCE_BY_VALUE[importance]
        deadline = now + fields.number("time left", left_s, -MAX_TIME_LEFT_S, MAX_TIME_LEFT_S)
        fields.whole_number("depth", depth, 0, MAX_COUNT)
        fields.whole_number("retries", retries, 0, MAX_COUNT)
        weight = fields.number("weight", weight, 0.0, MAX_WEIGHT)
        stamp = _parse_stamp(millis, counter)
        token_matches = hmac.compare_digest(token_text.encode(), token.encode())
    except (ValueError, TypeError, KeyError) as error:
        raise ContextError(
            "malformed context header; check that both nodes run the same version"
        ) from error
    if not token_matches:
        raise ContextError(
            "context header with the token of another fleet; check the fleet secret of both nodes"
        )
    context = call.CallContext(
        request_id,
        team,
        importance,
        deadline,
        depth,
        bool(repeatable),
        weight,
        virtual_host,
        origin,
        bool(unattributed),
    )
    return RelayedCall(service, context, retries, stamp, claim, route)


def encode_notice(given: notice.UpstreamNotice | None) -> list[message.Header]:
    """Returns the header of a notice, or no header if there is none.

    It is a header of its own, so that nodes of earlier versions can ignore it.
    """
    return [(NOTICE_HEADER, orjson.dumps(given.to_list()))] if given is not None else []


def decode_notice(value: bytes | None) -> notice.UpstreamNotice | None:
    """Returns the notice in a header that `encode_notice` returned, None if `value` is None.

    Raises:
        ContextError: The header is malformed.
    """
    if value is None:
        return None
    try:
        return notice.UpstreamNotice.from_list(orjson.loads(value))
    except (ValueError, TypeError) as error:
        raise ContextError("malformed header with the notice of an upstream") from error


def encode_report(sent: answer.Answer) -> message.Header:
    """Returns the report header, which carries all fields of an answer that are not in others."""
    values = [
        sent.verdict,
        sent.reason,
        sent.unused,
        sent.report.to_list() if sent.report else None,
        sent.thresholds,
        *_stamp_fields(sent.stamp),
        sent.retry_after_s,
    ]
    return REPORT_HEADER, orjson.dumps(values)


def decode_report(response: message.Response) -> answer.Answer | None:
    """Returns the answer that a relayed response and its report header make up.

    Removes the headers between nodes from the response. Returns None if it is missing or malformed.
    """
    # A node appends its report after the headers of the upstream's response, so it is the last.
    if not response.headers or response.headers[-1][0] != REPORT_HEADER:
        return None
    _, value = response.headers.pop()
    notice_value = None
    if response.headers and response.headers[-1][0] == NOTICE_HEADER:
        _, notice_value = response.headers.pop()
    try:
        verdict_text, reason, unused, report_fields, thresholds, millis, counter, retry_after_s = (
            orjson.loads(value)
        )
        _check_texts(reason, thresholds)
        if retry_after_s is not None:
            fields.number("retry_after_s", retry_after_s, 0.0, MAX_TIME_LEFT_S)
        return answer.Answer(
            response,
            verdict.parse(verdict_text),
            reason,
            fields.whole_number("unused", unused, 0, MAX_COUNT),
            load.LoadReport.from_list(report_fields) if report_fields else None,
            thresholds,
            _parse_stamp(millis, counter),
            retry_after_s,
            upstream_notice=decode_notice(notice_value),
        )
    except (ValueError, TypeError):
        return None
