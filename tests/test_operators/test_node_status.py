"""The status page of a node: what it tells of teams can be read again."""

import types

from bergamotridge.nodes import membership, record
from bergamotridge.operators import node_status, status, text
from bergamotridge.upstreams import gate

NOW = 0.0
TEAMS = {
    "limited": text.Team("limited", rate=10.0, burst=5),
    "free": text.Team("free", rate=float("inf"), burst=0),
}


def read():
    own = record.UpstreamRecord("h1", 1, 1, "fd1", "r", "s", record.State.READY, 4, 0.0, "", "", "")
    store = types.SimpleNamespace(
        current=types.SimpleNamespace(version=7, text=text.Text({}, {}, TEAMS))
    )
    reader = node_status.StatusReader(
        types.SimpleNamespace(host="h1", failure_domain="fd1"),
        1,
        membership.Membership(own, membership.Timings(heartbeat_s=1.0)),
        store,
        types.SimpleNamespace(withdrawn_count=0),
        gate.Gate(4, 4),
        lambda: {"limited": 0.5, "free": 0.5},
        lambda: {"limited": 3.0, "free": float("inf")},
    )
    return reader.read()


def test_a_team_is_told_with_the_tokens_at_hand():
    (team,) = read().teams
    assert (team.team, team.held_rate, team.tokens) == ("limited", 5.0, 3.0)


def test_a_status_with_a_team_that_has_no_limit_can_be_read_again():
    told = read()
    assert status.decode(status.encode(told)) == told
