"""The load generator is deterministic for a seed and records crossed and cut responses."""

import io
import json

import pytest

from standins import load, serving


class EchoHandler(serving.Handler):
    """Echoes the tag, or returns a crossed, cut or refused response on the paths named so."""

    def do_GET(self) -> None:  # noqa: N802
        """Responds to one call."""
        tag = self.headers["Request-Tag"].encode()
        if self.path == "/crossed":
            self.answer(200, b"other " + tag)
        elif self.path == "/cut":
            self.send_response_only(200)
            self.send_header("Content-Length", "500")
            self.end_headers()
            self.wfile.write(tag)
            self.cut_connection()
        elif self.path == "/refused":
            self.answer(503, b"", {"Bergamotridge-Verdict": "not-run"})
        else:
            self.answer(200, tag + b" ....")


@pytest.fixture
def target():
    server = serving.Server("127.0.0.1:0", EchoHandler)
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()


def make_stream(target: str, path: str, retries: int = 0) -> load.Stream:
    return load.Stream(
        "team", path, "standard", "GET", path, 200, "key", (target,), 0, 0.05, retries=retries
    )


def test_arrivals_depend_only_on_the_seed():
    streams = (make_stream("127.0.0.1:1", "/a"), make_stream("127.0.0.1:1", "/b"))
    first = load.schedule_arrivals(load.Plan(3, streams), 0.0)
    assert first == load.schedule_arrivals(load.Plan(3, streams), 0.0)
    assert first != load.schedule_arrivals(load.Plan(4, streams), 0.0)


def test_record_distinguishes_ok_crossed_cut_and_refused_responses(target):
    expected = {"/ok": (200, "ok"), "/crossed": (200, "crossed"), "/cut": (0, "cut")}
    streams = [make_stream(target, path) for path in expected]
    sink = io.StringIO()
    load.LoadGenerator(
        load.Plan(1, (*streams, make_stream(target, "/refused", retries=1))), sink
    ).run()
    attempts = [json.loads(line) for line in sink.getvalue().splitlines()]
    for path, outcome in expected.items():
        assert {(a["status"], a["body"]) for a in attempts if a["route"] == path} == {outcome}
    refused = [a for a in attempts if a["route"] == "/refused"]
    assert {a["verdict"] for a in refused} == {"not-run"}
    assert sum(a["number"] == 2 for a in refused) * 2 == len(refused)
