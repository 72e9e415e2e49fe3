"""The load tool sends the same arrivals for the same seed and sees crossed and cut answers."""

import io
import json

import pytest

from standins import load, serving


class EchoHandler(serving.Handler):
    """Echoes the tag, but misbehaves on some paths."""

    def do_GET(self) -> None:  # noqa: N802
        """Answers one call."""
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


def stream(target: str, path: str, retries: int = 0) -> load.Stream:
    return load.Stream(
        "team", path, "standard", "GET", path, 200, "key", (target,), 0, 0.05, retries=retries
    )


def test_arrivals_depend_on_the_seed_alone():
    streams = (stream("127.0.0.1:1", "/a"), stream("127.0.0.1:1", "/b"))
    first = load.arrivals(load.Plan(3, streams), 0.0)
    assert first == load.arrivals(load.Plan(3, streams), 0.0)
    assert first != load.arrivals(load.Plan(4, streams), 0.0)


def test_record_tells_whole_crossed_cut_and_refused_answers(target):
    expected = {"/ok": (200, "ok"), "/crossed": (200, "crossed"), "/cut": (0, "cut")}
    streams = [stream(target, path) for path in expected]
    sink = io.StringIO()
    load.Load(load.Plan(1, (*streams, stream(target, "/refused", retries=1))), sink).run()
    attempts = [json.loads(line) for line in sink.getvalue().splitlines()]
    for path, seen in expected.items():
        assert {(a["status"], a["body"]) for a in attempts if a["route"] == path} == {seen}
    refused = [a for a in attempts if a["route"] == "/refused"]
    assert {a["verdict"] for a in refused} == {"not-run"}
    assert sum(a["number"] == 2 for a in refused) * 2 == len(refused)
