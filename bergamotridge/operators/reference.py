"""Reference page of settings, metrics, events and reasons, generated from their declarations."""

from collections.abc import Iterable, Iterator, Sequence

import attrs

from bergamotridge import metrics, settings
from bergamotridge.operators import kinds, node_metrics, reasons, status

_INTRODUCTION = "Made by `bergamotridge reference`; do not edit. See also operators.md."


def _format_table(titles: Sequence[str], rows: Iterable[Sequence[str]]) -> Iterator[str]:
    for cells in (titles, ["---"] * len(titles), *rows):
        yield f"| {' | '.join(cell.replace('|', chr(92) + '|') for cell in cells)} |"


def _format_default(field: attrs.Attribute) -> str:
    value, check = field.default, field.metadata["check"]
    if value == "":
        return "none" if check(value) else "none; must be given"
    if isinstance(value, tuple):
        return f"`{list(value)}`"
    return f'`"{value}"`' if isinstance(value, str) else f"`{value}`"


def _settings_rows(cls: type, prefix: str) -> Iterator[Sequence[str]]:
    for field in attrs.fields(cls):
        key = prefix + field.name
        if attrs.has(field.type):
            yield from _settings_rows(field.type, f"{key}.")
            continue
        accepted = field.metadata["accepted"]
        yield f"`{key}`", field.metadata["help"], accepted, _format_default(field)


def _metrics_rows() -> Iterator[Sequence[str]]:
    registry = metrics.Metrics()
    node_metrics.NodeMetrics(registry, lambda: status.Status("", 0, "", 0.0))
    for described in registry.describe():
        yield f"`{described.name}`", described.kind, described.help_text


def _kinds_rows() -> Iterator[Sequence[str]]:
    for kind, meaning in sorted(kinds.KINDS.items()):
        yield f"`{kind}`", meaning


def _reasons_rows() -> Iterator[Sequence[str]]:
    for name, reason in sorted(reasons.REASONS.items()):
        yield f"`{name}`", reason.meaning, reason.action


def lines() -> Iterator[str]:
    """Yields the lines of the page, in Markdown."""
    yield from ("# Reference", "", _INTRODUCTION, "", "## Settings of a node", "")
    yield from _format_table(
        ("key", "meaning", "accepted", "default"),
        _settings_rows(settings.NodeSettings, ""),
    )
    yield from ("", "## Metrics", "")
    yield from _format_table(("metric", "kind", "meaning"), _metrics_rows())
    yield from ("", "## Kinds of events", "")
    yield from _format_table(("kind", "meaning"), _kinds_rows())
    yield from ("", "## Reasons for refusals and failures", "")
    yield from _format_table(("reason", "what happened", "what to do"), _reasons_rows())
