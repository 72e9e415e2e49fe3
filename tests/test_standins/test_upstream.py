"""The upstream stand-in sheds and cancels calls, enforces deadlines and records its runs."""

import http.client
import json
import socket
import threading
import time

import pytest

from standins import run_record, serving, upstream

HEADERS = {"Request-Tag": "t1", "Bergamotridge-Timeout-Ms": "5000"}


class NodeHandler(serving.Handler):
    """Stands in for the node: collects announcements and acknowledges them."""

    announced: list[dict]

    def do_POST(self) -> None:  # noqa: N802
        """Stores an announcement and responds with the heartbeat interval."""
        self.announced.append(json.loads(self.read_body()))
        self.answer_json(200, {"heartbeat_s": 0.05})


@pytest.fixture
def running_upstream():
    announced = []
    node = serving.Server("127.0.0.1:0", type("Bound", (NodeHandler,), {"announced": announced}))
    node.start()
    address = f"127.0.0.1:{node.server_port}"
    settings = upstream.Settings("booking", "127.0.0.1:0", slots=1)
    record = run_record.RunRecord("booking", "127.0.0.1:0")
    served = upstream.Upstream(settings, address, upstream.Control(service_ms=1), record)
    server = upstream.start(served)
    yield served, server.server_address, announced
    server.shutdown()
    node.shutdown()


def send_request(address, headers=HEADERS, method="GET", path="/bookings/7", body=None):
    connection = http.client.HTTPConnection(*address, timeout=10)
    connection.request(method, path, body, headers)
    response = connection.getresponse()
    return response, response.read()


def recorded_outcomes(served):
    lines = [json.loads(line) for line in served.record.to_json_lines().splitlines()]
    return [line["outcome"] for line in lines if line["event"] == "end"]


def wait_until(condition):
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_response_starts_with_tag_and_upstream_is_announced(running_upstream):
    served, address, announced = running_upstream
    response, body = send_request(address, HEADERS | {"Authorization": "Bearer k"})
    assert (response.status, len(body), body.split()[0]) == (200, 500, b"t1")
    assert json.loads(served.record.to_json_lines().splitlines()[0])["key_seen"]
    wait_until(lambda: announced)
    assert announced[0]["service"] == "booking"


def test_sheds_above_slots_and_cancels_when_client_disconnects(running_upstream):
    served, address, _ = running_upstream
    served.control.service_ms = 60_000
    client = socket.create_connection(address)
    client.sendall(b"GET /a HTTP/1.1\r\nRequest-Tag: t0\r\n\r\n")
    wait_until(lambda: served.build_announcement()["load"] == 1)
    response, _ = send_request(address)
    assert (response.status, response.headers["Bergamotridge-Verdict"]) == (503, "not-run")
    client.close()
    wait_until(lambda: recorded_outcomes(served) == ["cancelled"])


def test_call_ends_at_the_deadline(running_upstream):
    served, address, _ = running_upstream
    served.control.service_ms = 60_000
    response, _ = send_request(address, HEADERS | {"Bergamotridge-Timeout-Ms": "20"})
    assert response.status == 504
    assert recorded_outcomes(served) == ["deadline"]


def test_cut_answers_fault_cuts_one_body(running_upstream):
    _, address, _ = running_upstream
    send_request(address, method="POST", path="/control", body=json.dumps({"cut_answers": 1}))
    with pytest.raises(http.client.IncompleteRead):
        send_request(address)
    assert send_request(address)[0].status == 200


def test_drain_is_announced_and_ends(running_upstream):
    served, _, announced = running_upstream
    drained = threading.Thread(target=served.drain)
    drained.start()
    wait_until(lambda: announced and announced[-1]["state"] == "draining")
    drained.join(timeout=30)
    assert not drained.is_alive()
