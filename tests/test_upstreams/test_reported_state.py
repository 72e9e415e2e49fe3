"""What this host's record says after announcements of the local upstream."""

import pytest

from bergamotridge.nodes import membership, record
from bergamotridge.operators import operator_text
from bergamotridge.store import configuration
from bergamotridge.upstreams import announcement, gate, live_calls, local_upstream, reported_state
from bergamotridge.util import http_client
from tests import positions

NOW = 100.0
OWN = record.UpstreamRecord("h1", 1, 1, "a", "", "", record.State.STARTING, 0, 0.0, "", "", "")


class Rig:
    """The local upstream of a host, without ports; takes the place of its gate."""

    def __init__(self):
        self.is_stopping = False
        self.urgent_rounds = 0
        self.members = membership.Membership(OWN, membership.MembershipTimings(heartbeat_s=1.0))
        self.store = configuration.ConfigurationStore(lambda text, _: parse(text))
        self.limits = []
        publisher = reported_state.StatePublisher(
            self.members, self._count_round, lambda: self.is_stopping
        )
        upstream = local_upstream.LocalUpstream(
            gate.Gate(1, 4), live_calls.LiveCalls(), http_client.Pools(1, 1)
        )
        self.applier = reported_state.AnnouncementApplier(
            upstream, self, self.store, publisher.publish
        )

    def configure(self, slots, connections):
        self.limits.append((slots, connections))

    def _count_round(self):
        self.urgent_rounds += 1

    def announce(self, state, now=NOW, service="rooms", incarnation=1):
        self.applier.apply(
            announcement.Announcement(
                service, "127.0.0.1:9", state, incarnation, slots=50, connections=100, load=0.0
            ),
            now,
        )


def parse(slots):
    service = operator_text.Service(
        "rooms", slots=int(slots), connections=300, health_path="/health"
    )
    return operator_text.OperatorText({"rooms": service}, {}, {})


@pytest.fixture
def rig():
    return Rig()


def test_an_announcement_enters_the_record_of_this_host(rig):
    rig.announce(record.State.READY)
    assert (rig.members.own.service, rig.members.own.state) == ("rooms", record.State.READY)
    assert rig.urgent_rounds == 0


def test_an_upstream_that_is_ready_again_after_it_was_lost_is_told_to_others_at_once(rig):
    rig.announce(record.State.READY)
    rig.members.publish_lost(NOW)
    rig.announce(record.State.READY, NOW + 1.0)
    assert rig.urgent_rounds == 1


def test_a_node_that_stops_publishes_no_state_of_its_upstream(rig):
    rig.announce(record.State.READY)
    rig.members.publish_lost(NOW)
    rig.is_stopping = True
    rig.announce(record.State.DRAINING, NOW + 1.0)
    assert rig.members.own.state is record.State.LOST
    assert rig.urgent_rounds == 0


@pytest.mark.parametrize("text_is_first", [True, False])
def test_the_limits_of_the_service_apply_whichever_comes_first(rig, text_is_first):
    if text_is_first:
        rig.store.apply_version(positions.at(1), "7")
    rig.announce(record.State.READY)
    if not text_is_first:
        rig.store.add_listener(lambda _: rig.applier.configure_gate())
        rig.store.apply_version(positions.at(1), "7")
    assert rig.limits == [(7, 300)]


def test_the_health_path_is_known_once_the_text_is(rig):
    assert rig.applier.health_path("rooms") == ""
    rig.store.apply_version(positions.at(1), "7")
    assert (rig.applier.health_path("rooms"), rig.applier.health_path("x")) == ("/health", "")
