"""Requests on kept connections that arrive late in the planned stop of a node."""

import concurrent.futures
import http.client
import time

import pytest

from standins import dependencies
from standins import fleet as standin_fleet
from tests import fleet

DRAIN_S = 6.0
SERVICE_MS = 2000.0
LONG_SERVICE_MS = 3500.0
SEND_INTERVAL_S = 0.3
PLATFORM_DELAY_MS = 1500.0
KEPT_CONNECTIONS = 24
LIMITS = f"[limits]\nnotice_s = 0.5\ndrain_s = {DRAIN_S}"
HOSTS = (
    standin_fleet.Host("front-1", "east", "front", calls=fleet.FRONT_CALLS, settings=LIMITS),
    standin_fleet.Host("back-1", "east", "back"),
)


@pytest.fixture
def rig(tmp_path):
    with standin_fleet.Fleet(tmp_path, HOSTS, fleet.TEXT) as running:
        running.wait_ready()
        rig = fleet.Rig(running, tmp_path, {"large": running.grant("large")})
        rig.call_until_served("front-1")
        yield rig
        rig.stop()


def _open_kept_connection(rig):
    """Returns a connection on which the node has answered a call and that it keeps open."""
    host, _, port = rig.fleet.addresses("front-1").callers.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("GET", "/open")
    connection.getresponse().read()
    return connection


def _send_payment(rig, connection, tag):
    """Returns status and verdict, or None if the connection ended without a whole answer."""
    headers = {"Authorization": f"Bearer {rig.keys['large'].secret}", dependencies.TAG_HEADER: tag}
    try:
        connection.request("POST", "/payments", headers=headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return None
    return response.status, response.headers.get("Bergamotridge-Verdict")


def _send_payments_during_a_stop(rig, service_ms):
    """Stops a node while payments come on its kept connections; returns the replies by tag."""
    connections = [_open_kept_connection(rig) for _ in range(KEPT_CONNECTIONS)]
    rig.inject_faults("back", service_ms=service_ms)
    node = rig.fleet.members["front-1"].node
    node.terminate()
    sent = {}
    with concurrent.futures.ThreadPoolExecutor(KEPT_CONNECTIONS) as pool:
        for connection in connections:
            tag = rig.tag()
            sent[tag] = pool.submit(_send_payment, rig, connection, tag)
            time.sleep(SEND_INTERVAL_S)
    replies = {tag: future.result() for tag, future in sent.items()}
    assert node.wait() == 0
    return replies


def _assert_none_was_cut_off(rig, replies):
    for tag, reply in replies.items():
        if reply is None:
            assert rig.runs(tag) == []
        else:
            assert reply == (200, "run") or reply[1] == "not-run"
    assert (200, "run") in replies.values()


# Payments that came late in the time to drain were passed on, and cut off at its end.
def test_no_request_is_passed_on_and_then_cut_off_in_a_planned_stop(rig):
    replies = _send_payments_during_a_stop(rig, SERVICE_MS)
    _assert_none_was_cut_off(rig, replies)


# A stopping node took payments for as long as it waited for the platform, and cut them off.
def test_no_request_is_cut_off_in_a_planned_stop_while_the_platform_is_slow(rig):
    rig.fleet.wait_rates({"large": fleet.LARGE_TEAM_RATE_PER_S})
    rig.fleet.inject_platform_faults(delay_ms=PLATFORM_DELAY_MS)
    replies = _send_payments_during_a_stop(rig, LONG_SERVICE_MS)
    _assert_none_was_cut_off(rig, replies)
