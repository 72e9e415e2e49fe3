"""The whole path, from a caller over two nodes and two services back to the caller."""

import json

import pytest

from bergamotridge import call
from standins import client, history


@pytest.mark.parametrize("host", ["front-1", "back-2"])
def test_call_enters_anywhere_and_no_upstream_sees_its_key(rig, host):
    tag = rig.tag()
    reply = rig.call(host, "GET", "/reads/1", tag)
    assert (reply.status, reply.verdict) == (200, "run")
    assert reply.body.startswith(f"{tag} front".encode())
    assert [run.service for run in rig.runs(tag)] == ["front", "back"]
    assert history.with_key(rig.runs()) == []


def test_request_runs_only_for_the_team_whose_key_came_with_it(rig):
    tag = rig.tag()
    for key in ("", "wrong", rig.keys["large"].secret + "x"):
        reply = rig.call("front-1", "GET", "/reads/1", tag, key=key)
        assert (reply.status, reply.verdict) == (401, "not-run")
    assert rig.runs(tag) == []
    assert rig.call("front-1", "GET", "/open", tag, key="").status == 200


def test_upstreams_port_asks_for_a_live_call_id(rig):
    tag = rig.tag()
    address = rig.fleet.addresses("front-1").upstream
    headers = {"Request-Tag": tag, call.CALL_HEADER: "guessed"}
    assert client.ask(address, "GET", "/rows", headers=headers).status == 401
    assert rig.runs(tag) == []


def test_headers_of_the_system_are_dropped_from_callers(rig):
    tag = rig.tag()
    headers = {
        "Request-Tag": tag,
        call.CONTEXT_HEADER: json.dumps({"team": "large"}),
        call.CALL_HEADER: "guessed",
    }
    address = rig.fleet.addresses("front-1").callers
    assert client.ask(address, "GET", "/rows", headers=headers).status == 401
    assert rig.runs(tag) == []
