"""The upstream stand-in sheds, cancels, keeps deadlines and records what it ran."""

import http.client
import json
import socket
import threading
import time

import pytest

from standins import run_record, serving, upstream

HEADERS = {"Request-Tag": "t1", "Bergamotridge-Timeout-Ms": "5000"}


class NodeHandler(serving.Handler):
    """Answers announcements and echoes the tag of calls."""

    announced: list[dict]

    def do_POST(self) -> None:  # noqa: N802
        """Takes an announcement."""
        self.announced.append(json.loads(self.read_body()))
        self.answer_json(200, {"heartbeat_s": 0.05})


@pytest.fixture
def rig():
    announced = []
    node = serving.Server("127.0.0.1:0", type("Bound", (NodeHandler,), {"announced": announced}))
    node.start()
    address = f"127.0.0.1:{node.server_port}"
    shape = upstream.Shape("booking", "127.0.0.1:0", slots=1)
    record = run_record.RunRecord("booking", "127.0.0.1:0")
    served = upstream.Upstream(shape, address, upstream.Control(service_ms=1), record)
    server = upstream.start(served)
    yield served, server.server_address, announced
    server.shutdown()
    node.shutdown()


def ask(address, headers=HEADERS, method="GET", path="/bookings/7", body=None):
    connection = http.client.HTTPConnection(*address, timeout=10)
    connection.request(method, path, body, headers)
    answer = connection.getresponse()
    return answer, answer.read()


def outcomes(served):
    lines = [json.loads(line) for line in served.record.lines().splitlines()]
    return [line["outcome"] for line in lines if line["event"] == "end"]


def wait_for(condition):
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_answers_with_the_tag_and_announces_itself(rig):
    served, address, announced = rig
    answer, body = ask(address, HEADERS | {"Authorization": "Bearer k"})
    assert (answer.status, len(body), body.split()[0]) == (200, 500, b"t1")
    assert json.loads(served.record.lines().splitlines()[0])["key_seen"]
    wait_for(lambda: announced)
    assert announced[0]["service"] == "booking"


def test_sheds_above_its_slots_and_stops_when_the_client_leaves(rig):
    served, address, _ = rig
    served.control.service_ms = 60_000
    client = socket.create_connection(address)
    client.sendall(b"GET /a HTTP/1.1\r\nRequest-Tag: t0\r\n\r\n")
    wait_for(lambda: served.describe()["load"] == 1)
    answer, _ = ask(address)
    assert (answer.status, answer.headers["Bergamotridge-Verdict"]) == (503, "not-run")
    client.close()
    wait_for(lambda: outcomes(served) == ["cancelled"])


def test_gives_up_at_the_deadline(rig):
    served, address, _ = rig
    served.control.service_ms = 60_000
    answer, _ = ask(address, HEADERS | {"Bergamotridge-Timeout-Ms": "20"})
    assert answer.status == 504
    assert outcomes(served) == ["deadline"]


def test_cuts_an_answer_in_the_middle(rig):
    _, address, _ = rig
    ask(address, method="POST", path="/control", body=json.dumps({"cut_answers": 1}))
    with pytest.raises(http.client.IncompleteRead):
        ask(address)
    assert ask(address)[0].status == 200


def test_drain_is_announced_and_ends(rig):
    served, _, announced = rig
    drained = threading.Thread(target=served.drain)
    drained.start()
    wait_for(lambda: announced and announced[-1]["state"] == "draining")
    drained.join(timeout=30)
    assert not drained.is_alive()
