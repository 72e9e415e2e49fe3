"""The fleet as a table of text, one line for each node."""

from collections.abc import Iterator, Sequence

from bergamotridge.operators import fleet, status, timeline

_TITLES = (
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


def _cells(node: status.Status) -> tuple[str, ...]:
    return (
        node.host,
        node.failure_domain,
        node.service or "-",
        node.state or "-",
        str(node.load.running),
        str(node.load.waiting),
        f"{node.load.limit:.0f}",
        str(node.configuration_version),
        f"{node.uptime_s:.0f}",
    )


def _table(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        yield "  ".join(padded).rstrip()


def lines(survey: fleet.Survey) -> Iterator[str]:
    """Yields the table, then what differs between nodes, then the nodes that are missing."""
    yield from _table([_TITLES, *(_cells(node) for node in survey.statuses)])
    versions = sorted({node.configuration_version for node in survey.statuses})
    if len(versions) > 1:
        yield f"versions of the configuration differ: {', '.join(map(str, versions))}"
    yield from timeline.missing_lines(survey.missing)
