"""Explanation of one request: a sentence for each of its events, and remedies."""

from collections.abc import Callable, Iterator

from bergamotridge import events
from bergamotridge.operators import fleet, reasons, timeline

_VERDICT_TEXTS = {
    "not-run": "it did not run",
    "may-have-run": "it may have run",
    "run": "it ran",
}


def _detail(event: events.Event, name: str, default: str = "unknown") -> str:
    return str(event.detail.get(name, default))


def _describe_cause(event: events.Event) -> str:
    reason = reasons.REASONS.get(event.cause)
    return f"'{event.cause}' ({reason.meaning})" if reason else f"'{event.cause}'"


def _describe_verdict(event: events.Event) -> str:
    verdict = _detail(event, "verdict", "")
    return _VERDICT_TEXTS.get(verdict, "whether it ran is unknown")


def _describe_call(event: events.Event) -> str:
    return f"the call to '{_detail(event, 'path')}'"


def _describe_dependency_call(event: events.Event) -> str:
    return f"the call of service '{_detail(event, 'service')}' to '{_detail(event, 'path')}'"


def _describe_end(subject: str, ending: str, event: events.Event) -> str:
    """Returns a sentence on how a call or an attempt ended, why, and whether it ran."""
    message = event.detail.get("told", "")
    return (
        f"{subject} {ending} {_describe_cause(event)}{f': {message}' if message else ''}; "
        f"{_describe_verdict(event)}"
    )


def _describe_refused_call(event: events.Event) -> str:
    return _describe_end(_describe_call(event), "was refused for", event)


def _describe_failed_call(event: events.Event) -> str:
    return _describe_end(_describe_call(event), "failed with", event)


def _describe_refused_dependency_call(event: events.Event) -> str:
    return _describe_end(_describe_dependency_call(event), "was refused for", event)


def _describe_failed_dependency_call(event: events.Event) -> str:
    return _describe_end(_describe_dependency_call(event), "failed with", event)


def _describe_attempt(event: events.Event) -> str:
    return (
        f"the attempt at host '{_detail(event, 'target')}' "
        f"of service '{_detail(event, 'service')}'"
    )


def _describe_refused_attempt(event: events.Event) -> str:
    return _describe_end(_describe_attempt(event), "was refused for", event)


def _describe_failed_attempt(event: events.Event) -> str:
    return _describe_end(_describe_attempt(event), "failed with", event)


def _describe_late_call(event: events.Event) -> str:
    return (
        f"{_describe_call(event)} was answered after {_detail(event, 'ms')} ms, "
        f"its target is {_detail(event, 'target_ms')} ms; host '{_detail(event, 'target')}' "
        f"answered it at a load of {_detail(event, 'load')}"
    )


def _describe_retry(event: events.Event) -> str:
    return f"the call to service '{_detail(event, 'service')}' is sent again, to another host"


DESCRIBERS_BY_KIND: dict[str, Callable[[events.Event], str]] = {
    "attempt.refused": _describe_refused_attempt,
    "attempt.failed": _describe_failed_attempt,
    "call.refused": _describe_refused_call,
    "call.failed": _describe_failed_call,
    "call.late": _describe_late_call,
    "call.retried": _describe_retry,
    "dependency.refused": _describe_refused_dependency_call,
    "dependency.failed": _describe_failed_dependency_call,
}


def describe_event(event: events.Event) -> str:
    """Returns a sentence on what one event means for the request."""
    describe = DESCRIBERS_BY_KIND.get(event.kind)
    if describe is not None:
        return describe(event)
    fields = ", ".join(f"{name} {value}" for name, value in event.detail.items())
    summary = f"{event.kind} for {_describe_cause(event)}" if event.cause else event.kind
    return f"{summary} ({fields})" if fields else summary


def format_lines(request_id: str, history: fleet.History) -> Iterator[str]:
    """Yields the events of one request, then remedies, then the nodes that could not be read.

    Args:
        request_id: Id of the request.
        history: Its events.
    """
    if history.events:
        hosts = ", ".join(dict.fromkeys(event.host for event in history.events))
        yield f"request '{request_id}': events at {hosts}"
    else:
        yield (
            f"request '{request_id}': no node that was reached keeps an event of it; it was "
            f"neither refused nor retried, or its events were evicted from the event rings"
            f"{', or they are on a missing node' if history.missing else ''}"
        )
    for number, event in enumerate(history.events, 1):
        yield (
            f"{number}. {timeline.format_wall_time(event.stamp)} {event.host}: "
            f"{describe_event(event)}"
        )
    yield from _advice_lines(history)
    yield from timeline.missing_lines(history.missing)


def _advice_lines(history: fleet.History) -> Iterator[str]:
    causes = dict.fromkeys(event.cause for event in history.events)
    for cause in causes:
        if cause in reasons.REASONS:
            yield f"what to do for '{cause}': {reasons.REASONS[cause].action}"
