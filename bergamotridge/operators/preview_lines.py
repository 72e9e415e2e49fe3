"""Where a request would go now, as text for operators."""

from collections.abc import Iterator

from bergamotridge.operators import overview, route_preview

_COLUMN_TITLES = (
    "host",
    "failure domain",
    "distance",
    "chance",
    "load",
    "limit",
    "slowness",
    "accepted",
    "note",
)


def format_lines(preview: route_preview.RoutePreview) -> Iterator[str]:
    """Yields what would happen to the request, a line each."""
    yield f"node '{preview.host}', configuration {preview.configuration or 'none'}"
    if preview.refusal:
        yield f"it would be refused: {preview.refusal}"
        return
    repeats = "may be repeated" if preview.repeatable else "runs at most once"
    yield (
        f"route '{preview.route}': {repeats}, class {preview.importance}, at most "
        f"{preview.attempts} upstreams, {preview.timeout_s:g} s"
    )
    if preview.tokens >= 0.0:
        yield f"team '{preview.team}': {preview.tokens:.1f} requests could be admitted here at once"
    for service in preview.services:
        yield from _format_service(service)


def _format_service(service: route_preview.Service) -> Iterator[str]:
    yield (
        f"service '{service.service}' gets {service.weight:.2f} of them and admits "
        f"{service.admitted:.2f}"
    )
    for below in service.dependencies:
        yield (
            f"  below it: '{below.service}' admits {below.admitted:.2f} and accepts "
            f"{below.accepted:.2f} of its calls"
        )
    if not service.upstreams:
        yield "  no upstream of it is ready: it would be refused with 'no-upstream'"
        return
    chosen_first = sorted(service.upstreams, key=lambda item: (-item.chance, item.host))
    rows = [_COLUMN_TITLES, *(_format_cells(item) for item in chosen_first)]
    for line in overview.format_table(rows):
        yield f"  {line}"


def _format_cells(item: route_preview.Upstream) -> tuple[str, ...]:
    return (
        item.host,
        item.failure_domain,
        item.distance,
        f"{item.chance:.2f}",
        f"{item.load:.2f}",
        str(item.limit),
        f"{item.slowness:.2f}",
        f"{item.accepted:.2f}",
        "ejected, gets probes only" if item.is_ejected else "",
    )
