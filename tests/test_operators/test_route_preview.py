"""The text of a preview, which operators read."""

from bergamotridge.operators import decoding, preview_lines, route_preview

UPSTREAMS = (
    route_preview.Upstream("h2", "east", "own-domain", 0.1, 0.5, 20, 1.4, 0.45, False),
    route_preview.Upstream("h1", "east", "own-host", 0.9, 0.25, 20, 1.0, 1.0, False),
    route_preview.Upstream("h3", "west", "other-domain", 0.0, 0.0, 20, 1.0, 1.0, True),
)
PREVIEW = route_preview.RoutePreview(
    "h1",
    "7",
    route="read",
    repeatable=True,
    importance="standard",
    attempts=3,
    timeout_s=4.0,
    team="small",
    tokens=2.5,
    services=(
        route_preview.Service(
            "depot", 0.75, 0.5, (route_preview.Dependency("stock", 0.4, 0.6),), UPSTREAMS
        ),
        route_preview.Service("trial", 0.25, 1.0),
    ),
)


def test_the_text_of_a_preview(snapshot):
    assert list(preview_lines.format_lines(PREVIEW)) == snapshot


def test_the_text_of_a_request_that_would_be_refused():
    refused = route_preview.RoutePreview("h1", "", "no configuration")
    assert list(preview_lines.format_lines(refused)) == [
        "node 'h1', configuration none",
        "it would be refused: no configuration",
    ]


def test_a_preview_survives_its_json_form():
    assert decoding.decode_preview(route_preview.encode(PREVIEW)) == PREVIEW
