"""The teams on the status page of a node, and decoding of the page.

A team without a rate limit has an infinite rate, which JSON cannot represent.
"""

import types

from bergamotridge.nodes import membership, record
from bergamotridge.operators import decoding, node_status, operator_text, status
from bergamotridge.store import freshness, restorations
from bergamotridge.upstreams import gate
from bergamotridge.util import clock
from tests import positions

NOW = 0.0
REPLICA_AGE_S = 7.0
TEAMS = {
    "limited": operator_text.Team("limited", rate=10.0, burst=5),
    "free": operator_text.Team("free", rate=float("inf"), burst=0),
}


def read_status():
    known_freshness, known_restorations = freshness.Freshness(), restorations.Restorations()
    known_restorations.observe(3, clock.boot_time())
    known_freshness.confirm("configuration", clock.boot_time() - REPLICA_AGE_S)
    own = record.UpstreamRecord("h1", 1, 1, "fd1", "r", "s", record.State.READY, 4, 0.0, "", "", "")
    store = types.SimpleNamespace(
        current=types.SimpleNamespace(
            version=positions.at(7), text=operator_text.OperatorText({}, {}, TEAMS)
        )
    )
    reader = node_status.StatusReader(
        types.SimpleNamespace(host="h1", failure_domain="fd1"),
        1,
        membership.Membership(own, membership.MembershipTimings(heartbeat_s=1.0)),
        store,
        types.SimpleNamespace(withdrawn_count=0),
        gate.Gate(4, 4),
        types.SimpleNamespace(rate_limit=43.5),
        lambda: {"limited": 0.5, "free": 0.5},
        lambda: {"limited": 3.0, "free": float("inf")},
        known_freshness,
        known_restorations,
    )
    return reader.read()


def test_status_tells_how_old_a_replica_may_be():
    (kind, age_s), *others = read_status().replica_ages.items()
    assert (kind, others) == ("configuration", [])
    assert age_s >= REPLICA_AGE_S


def test_status_holds_the_rate_and_tokens_of_a_limited_team():
    (team,) = read_status().teams
    assert (team.team, team.held_rate, team.tokens) == ("limited", 5.0, 3.0)


def test_status_shows_the_rate_limit_that_the_upstream_named():
    assert read_status().load.rate_limit == 43.5


def test_status_shows_the_epoch_of_the_store():
    assert read_status().store_epoch == 3


def test_status_with_an_unlimited_team_can_be_decoded():
    sent = read_status()
    assert decoding.decode_status(status.encode(sent)) == sent
