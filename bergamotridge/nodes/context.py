"""The header in which nodes pass on the context of a call, and the one in which answers report."""

import hashlib
import hmac

import attrs
import orjson

from bergamotridge import answer, call, verdict
from bergamotridge.nodes import load
from bergamotridge.util import hlc, message

CONTEXT_HEADER = call.CONTEXT_HEADER.lower().encode()
REPORT_HEADER = b"bergamotridge-report"
_RELAY_PURPOSE = b"relay"
_IMPORTANCES = {importance.value: importance for importance in call.Importance}


class ContextError(ValueError):
    """A context header is missing, malformed or not signed with the fleet's secret."""


@attrs.frozen
class RelayedCall:
    """A call as it arrives from another node.

    Attributes:
        service: Service that is to answer.
        context: Context with the deadline on the local clock.
        retries: Retries granted to this call and all below it.
        stamp: Hybrid logical time of the sender, None if unknown.
        claim: Idempotency key under which the receiver is to dispatch the call, or "" if its
            own upstream is to run it.
        route: Route of the call where `claim` is given.
    """

    service: str
    context: call.CallContext
    retries: int
    stamp: hlc.Stamp | None
    claim: str = ""
    route: str = ""


def _times(stamp: hlc.Stamp | None) -> tuple[int, int]:
    return (stamp.millis, stamp.counter) if stamp is not None else (0, 0)


def _stamp(millis: int, counter: int) -> hlc.Stamp | None:
    """Returns a stamp without its host, which decides only ties between equal times."""
    if type(millis) is not int or type(counter) is not int:
        raise ValueError("a time stamp is not a whole number")
    return hlc.Stamp(millis, counter, "") if millis else None


def relay_token(fleet_secret: str) -> str:
    """Returns the token by which nodes of one fleet know each other on the relay port."""
    return hmac.new(fleet_secret.encode(), _RELAY_PURPOSE, hashlib.sha256).hexdigest()


def encode(token: str, relayed: RelayedCall, now: float) -> message.Header:
    """Returns the header for a call that is sent at `now` (monotonic seconds)."""
    context = relayed.context
    fields = [
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
        *_times(relayed.stamp),
        relayed.claim,
        relayed.route,
        context.unattributed,
    ]
    return CONTEXT_HEADER, orjson.dumps(fields)


def decode(token: str, value: bytes | None, now: float) -> RelayedCall:
    """Returns the call that a header describes; raises ContextError."""
    if value is None:
        raise ContextError("no context header")
    try:
        given, service, request_id, team, importance, left, depth, repeatable, *rest = orjson.loads(
            value
        )
        weight, virtual_host, origin, retries, millis, counter, claim, route, unattributed = rest
        importance = _IMPORTANCES[importance]
        deadline = now + float(left)
        known = hmac.compare_digest(given.encode(), token.encode())
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ContextError("malformed context header") from error
    if not known:
        raise ContextError("the context header does not carry this fleet's token")
    context = call.CallContext(
        request_id,
        team,
        importance,
        deadline,
        depth,
        bool(repeatable),
        float(weight),
        virtual_host,
        origin,
        bool(unattributed),
    )
    return RelayedCall(service, context, int(retries), _stamp(millis, counter), claim, route)


def encode_report(given: answer.Answer) -> message.Header:
    """Returns the header that carries all of an answer but its response."""
    fields = [
        given.verdict,
        given.reason,
        given.unused,
        given.report.fields() if given.report else None,
        given.thresholds,
        *_times(given.stamp),
        given.retry_after_s,
    ]
    return REPORT_HEADER, orjson.dumps(fields)


def decode_report(response: message.Response) -> answer.Answer | None:
    """Takes the report out of a relayed response; None if it carries none that can be read."""
    # A node appends its report to the fields of the answer.
    if not response.headers or response.headers[-1][0] != REPORT_HEADER:
        return None
    _, value = response.headers.pop()
    try:
        outcome, reason, unused, told, thresholds, millis, counter, retry_s = orjson.loads(value)
        report = load.LoadReport.read(told) if told else None
        stamp = _stamp(millis, counter)
    except (ValueError, TypeError):
        return None
    return answer.Answer(
        response,
        verdict.parse(outcome),
        reason,
        int(unused),
        report,
        thresholds,
        stamp,
        retry_s,
    )
