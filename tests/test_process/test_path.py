"""The path of a call from a caller through two nodes and two services and back to the caller."""

import json

import pytest

from bergamotridge import call
from standins import client, history


@pytest.mark.parametrize("host", ["front-1", "back-2"])
def test_call_works_at_any_node_and_no_upstream_sees_its_key(rig, host):
    tag = rig.tag()
    reply = rig.call(host, "GET", "/reads/1", tag)
    assert (reply.status, reply.verdict) == (200, "run")
    assert reply.body.startswith(f"{tag} front".encode())
    assert [run.service for run in rig.runs(tag)] == ["front", "back"]
    assert history.find_runs_with_caller_key(rig.runs()) == []


def test_call_without_a_valid_key_runs_only_on_an_open_route(rig):
    tag = rig.tag()
    for key in ("", "wrong", rig.keys["large"].secret + "x"):
        reply = rig.call("front-1", "GET", "/reads/1", tag, key=key)
        assert (reply.status, reply.verdict) == (401, "not-run")
    assert rig.runs(tag) == []
    assert rig.call("front-1", "GET", "/open", tag, key="").status == 200


def test_upstream_port_refuses_an_unknown_call_id(rig):
    tag = rig.tag()
    address = rig.fleet.addresses("front-1").upstream
    headers = {"Request-Tag": tag, call.CALL_HEADER: "guessed"}
    assert client.send_request(address, "GET", "/rows", headers=headers).status == 401
    assert rig.runs(tag) == []


# The page has to ask the parts that decide on the event loop that they belong to.
def test_a_preview_tells_where_a_call_would_go_and_sends_nothing(rig):
    before = len(rig.runs())
    address = rig.fleet.addresses("front-1").operators
    told = rig.fleet.run_command("preview", f"--node={address}", "GET", "/reads/1")
    assert "route 'read': may be repeated" in told
    assert "below it: 'back'" in told
    assert "front-1" in told and "own-host" in told
    assert len(rig.runs()) == before


def test_internal_headers_from_callers_are_ignored(rig):
    tag = rig.tag()
    headers = {
        "Request-Tag": tag,
        call.CONTEXT_HEADER: json.dumps({"team": "large"}),
        call.CALL_HEADER: "guessed",
    }
    address = rig.fleet.addresses("front-1").callers
    assert client.send_request(address, "GET", "/rows", headers=headers).status == 401
    assert rig.runs(tag) == []
