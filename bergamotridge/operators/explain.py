"""Tells in plain sentences what became of one request, hop by hop."""

from collections.abc import Callable, Iterator

from bergamotridge import events
from bergamotridge.operators import fleet, reasons, timeline

_VERDICTS = {
    "not-run": "it did not run",
    "may-have-run": "it may have run",
    "run": "it ran",
}


def _detail(event: events.Event, name: str, default: str = "unknown") -> str:
    return str(event.detail.get(name, default))


def _because(event: events.Event) -> str:
    known = reasons.REASONS.get(event.cause)
    return f"'{event.cause}' ({known.meaning})" if known else f"'{event.cause}'"


def _verdict(event: events.Event) -> str:
    given = _detail(event, "verdict", "")
    return _VERDICTS.get(given, "whether it ran is unknown")


def _call(event: events.Event) -> str:
    return f"the call to '{_detail(event, 'path')}'"


def _dependency_call(event: events.Event) -> str:
    return f"the call of service '{_detail(event, 'service')}' to '{_detail(event, 'path')}'"


def _ended(call: str, ended: str, event: events.Event) -> str:
    told = event.detail.get("told", "")
    return f"{call} {ended} {_because(event)}{f': {told}' if told else ''}; {_verdict(event)}"


def _refused(event: events.Event) -> str:
    return _ended(_call(event), "was refused for", event)


def _failed(event: events.Event) -> str:
    return _ended(_call(event), "failed with", event)


def _dependency_refused(event: events.Event) -> str:
    return _ended(_dependency_call(event), "was refused for", event)


def _dependency_failed(event: events.Event) -> str:
    return _ended(_dependency_call(event), "failed with", event)


def _attempted(event: events.Event) -> str:
    return (
        f"the attempt at host '{_detail(event, 'target')}' of service '{_detail(event, 'service')}'"
    )


def _attempt_refused(event: events.Event) -> str:
    return _ended(_attempted(event), "was refused for", event)


def _attempt_failed(event: events.Event) -> str:
    return _ended(_attempted(event), "failed with", event)


def _late(event: events.Event) -> str:
    return (
        f"{_call(event)} was answered after {_detail(event, 'ms')} ms, "
        f"its target is {_detail(event, 'target_ms')} ms; host '{_detail(event, 'target')}' "
        f"answered it at a load of {_detail(event, 'load')}"
    )


def _retried(event: events.Event) -> str:
    return f"the call to service '{_detail(event, 'service')}' is sent again, to another host"


SENTENCES: dict[str, Callable[[events.Event], str]] = {
    "attempt.refused": _attempt_refused,
    "attempt.failed": _attempt_failed,
    "call.refused": _refused,
    "call.failed": _failed,
    "call.late": _late,
    "call.retried": _retried,
    "dependency.refused": _dependency_refused,
    "dependency.failed": _dependency_failed,
}


def sentence(event: events.Event) -> str:
    """Returns what one event means for the request."""
    tell = SENTENCES.get(event.kind)
    if tell is not None:
        return tell(event)
    fields = ", ".join(f"{name} {value}" for name, value in event.detail.items())
    told = f"{event.kind} for {_because(event)}" if event.cause else event.kind
    return f"{told} ({fields})" if fields else told


def lines(request_id: str, history: fleet.History) -> Iterator[str]:
    """Yields the story of one request, then what to do, then the nodes that could not be asked.

    Args:
        request_id: The request.
        history: Its events.
    """
    if history.events:
        hosts = ", ".join(dict.fromkeys(event.host for event in history.events))
        yield f"request '{request_id}': events at {hosts}"
    else:
        yield (
            f"request '{request_id}': no node that was reached keeps an event of it; it was "
            f"neither refused nor retried, or its events have left the rings"
            f"{', or they are on a missing node' if history.missing else ''}"
        )
    for number, event in enumerate(history.events, 1):
        yield f"{number}. {timeline.clock_text(event.stamp)} {event.host}: {sentence(event)}"
    yield from _advice(history)
    yield from timeline.missing_lines(history.missing)


def _advice(history: fleet.History) -> Iterator[str]:
    causes = dict.fromkeys(event.cause for event in history.events)
    for cause in causes:
        if cause in reasons.REASONS:
            yield f"what to do for '{cause}': {reasons.REASONS[cause].action}"
