"""Recorded traces: JSON lines of announcements, faults and calls, ordered by time."""

from collections.abc import Iterable
from typing import Any

import attrs
import cattrs
import orjson

from bergamotridge import call, errors
from bergamotridge.nodes import record
from bergamotridge.operators import operator_text
from bergamotridge.upstreams import outcome


@attrs.frozen
class Announcement:
    """An upstream announces itself.

    Attributes:
        at: Seconds since the start of the trace.
        host: Host of the upstream.
        service: Service of the upstream.
        failure_domain: Failure domain of the host.
        slots: Calls that the upstream can run concurrently.
        connections: Connections that it accepts.
        state: State of the upstream.
    """

    at: float
    host: str
    service: str
    failure_domain: str
    slots: int
    connections: int
    state: record.State = record.State.READY


@attrs.frozen
class Fault:
    """From now on the calls at an upstream end differently than the trace states.

    Attributes:
        at: Seconds since the start of the trace.
        host: Host of the upstream.
        slowdown: Factor by which the service time of each call is multiplied.
        answer: Outcome with which each call ends at once, None if calls run normally.
    """

    at: float
    host: str
    slowdown: float = 1.0
    answer: outcome.Outcome | None = None


@attrs.frozen
class Arrival:
    """A call arrives.

    Attributes:
        at: Seconds since the start of the trace.
        request: Id of its request.
        team: Its team, "" on routes that need no key.
        importance: Importance of the call.
        service: Service that answers.
        service_s: Service time in seconds.
        timeout_s: Time limit in seconds.
        depth: Number of its ancestors in the call tree, 0 for the call of a caller.
        weight: Weight of the team.
        repeatable: True if the call may safely run more than once.
    """

    at: float
    request: str
    team: str
    importance: call.Importance
    service: str
    service_s: float
    timeout_s: float
    depth: int = 0
    weight: float = 1.0
    repeatable: bool = False


Event = Announcement | Fault | Arrival
_CLASSES_BY_KIND = {"announcement": Announcement, "fault": Fault, "arrival": Arrival}
_converter = cattrs.Converter(forbid_extra_keys=True)
_converter.register_structure_hook(
    call.Importance, lambda value, _: operator_text.IMPORTANCE_BY_NAME[value]
)


def parse(lines: Iterable[str], source: str) -> list[Event]:
    """Returns the events of a trace, ordered by time.

    Args:
        lines: One JSON object each, with "kind" and the attributes of the event.
        source: Name of the file, for error messages.

    Raises:
        SettingsError: A line is not valid; the message names the file and the line.
    """
    events = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            events.append(_parse_event(orjson.loads(line)))
        except Exception as error:
            raise errors.SettingsError(
                f"{source}: line {number}: {_describe_error(error)}"
            ) from error
    return sorted(events, key=lambda event: event.at)


def _parse_event(fields: dict[str, Any]) -> Event:
    kind = fields.pop("kind", None)
    if kind not in _CLASSES_BY_KIND:
        raise ValueError(f"kind is {kind!r}; accepted: {', '.join(_CLASSES_BY_KIND)}")
    return _converter.structure(fields, _CLASSES_BY_KIND[kind])


def _describe_error(error: Exception) -> str:
    return (
        "; ".join(cattrs.transform_error(error))
        if isinstance(error, ExceptionGroup)
        else str(error)
    )
