"""Upstreams of evacuated failure domains are not chosen, and the choice keeps its cache."""

import attrs

from bergamotridge.nodes import evacuated_directory, membership
from tests.test_nodes import test_dispatch

OWN = attrs.evolve(test_dispatch.make_record("h1"), failure_domain="a")


# Guards against a split of the candidates for each call: it is cached by the sequence's identity.
def test_the_candidates_stay_the_same_object_until_upstreams_or_evacuations_change():
    members = membership.Membership(OWN, membership.MembershipTimings())
    evacuated = frozenset()
    directory = evacuated_directory.EvacuatedDirectory(members, lambda: evacuated)
    assert directory.candidates("pay") is members.candidates("pay")
    evacuated = frozenset(("nowhere",))
    kept = directory.candidates("pay")
    assert (len(kept), directory.candidates("pay")) == (1, kept)
    assert directory.candidates("pay") is kept
    evacuated = frozenset(("a",))
    assert directory.candidates("pay") == ()
    members.announce("pay", OWN.state, 20, 0.0, 1.0)
    assert directory.candidates("pay") == ()
    evacuated = frozenset()
    assert [item.slots for item in directory.candidates("pay")] == [20]
