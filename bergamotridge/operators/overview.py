"""Overview of the fleet: a table of text with one line for each node."""

from collections.abc import Iterator, Sequence

from bergamotridge.operators import fleet, status, timeline
from bergamotridge.store import position

_COLUMN_TITLES = (
    "host",
    "failure domain",
    "service",
    "state",
    "running",
    "waiting",
    "limit",
    "configuration",
    "uptime_s",
)


def _format_cells(node: status.Status) -> tuple[str, ...]:
    return (
        node.host,
        node.failure_domain,
        node.service or "-",
        node.state or "-",
        str(node.load.running),
        str(node.load.waiting),
        f"{node.load.limit:.0f}",
        str(_version(node)),
        f"{node.uptime_s:.0f}",
    )


def _version(node: status.Status) -> position.Position:
    return position.Position(node.configuration_epoch, node.configuration_version)


def format_table(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yields a line for each row, with the cells of a column below each other."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        yield "  ".join(padded).rstrip()


def format_lines(survey: fleet.Survey) -> Iterator[str]:
    """Yields the table, then a warning if configuration versions differ, then the missing nodes."""
    yield from format_table([_COLUMN_TITLES, *(_format_cells(node) for node in survey.statuses)])
    versions = sorted({_version(node) for node in survey.statuses})
    if len(versions) > 1:
        yield f"versions of the configuration differ: {', '.join(map(str, versions))}"
    yield from timeline.missing_lines(survey.missing)
