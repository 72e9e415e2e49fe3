"""Recorded traces: JSON lines of announcements, faults and calls, in order of time."""

from collections.abc import Iterable
from typing import Any

import attrs
import cattrs
import orjson

from bergamotridge import call, errors
from bergamotridge.nodes import record
from bergamotridge.operators import text
from bergamotridge.upstreams import outcome


@attrs.frozen
class Announcement:
    """An upstream says what it is; times are seconds since the start of the trace."""

    at: float
    host: str
    service: str
    failure_domain: str
    slots: int
    connections: int
    state: record.State = record.State.READY


@attrs.frozen
class Fault:
    """From now on an upstream answers otherwise than the calls of the trace say.

    Attributes:
        at: Seconds since the start of the trace.
        host: Its host.
        slowdown: Multiple of the service time of each call.
        answer: How each call ends at once, or None for the end that the call gives.
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
        team: Its team, "" on routes open to all.
        importance: Class of importance.
        service: Service that answers.
        service_s: Service time in seconds.
        timeout_s: Time limit in seconds.
        depth: Calls above it.
        weight: Weight of the team.
        repeatable: True if the call may run more than once.
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
_KINDS = {"announcement": Announcement, "fault": Fault, "arrival": Arrival}
_converter = cattrs.Converter(forbid_extra_keys=True)
_converter.register_structure_hook(call.Importance, lambda value, _: text.IMPORTANCE_NAMES[value])


def parse(lines: Iterable[str], source: str) -> list[Event]:
    """Returns the events of a trace in order of time.

    Args:
        lines: One JSON object each, with "kind" and the attributes of the event.
        source: Name of the file, for messages.

    Raises:
        SettingsError: Names the file and the line.
    """
    events = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            events.append(_event(orjson.loads(line)))
        except Exception as error:
            raise errors.SettingsError(f"{source}: line {number}: {_reason(error)}") from error
    return sorted(events, key=lambda event: event.at)


def _event(fields: dict[str, Any]) -> Event:
    kind = fields.pop("kind", None)
    if kind not in _KINDS:
        raise ValueError(f"kind is {kind!r}; accepted: {', '.join(_KINDS)}")
    return _converter.structure(fields, _KINDS[kind])


def _reason(error: Exception) -> str:
    return (
        "; ".join(cattrs.transform_error(error))
        if isinstance(error, ExceptionGroup)
        else str(error)
    )
