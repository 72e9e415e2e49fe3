"""Upstreams of evacuated failure domains are not chosen, and the choice keeps its cache."""

from bergamotridge.nodes import evacuated_directory, membership, record


def make_record(host, domain):
    return record.UpstreamRecord(
        host, 1, 1, domain, "r", "pay", record.State.READY, 10, 0.0, f"{host}:1", f"{host}:2"
    )


# Guards against a split of the candidates for each call: it is cached by the sequence's identity.
def test_the_candidates_stay_the_same_object_until_upstreams_or_evacuations_change():
    members = membership.Membership(make_record("h1", "a"), membership.MembershipTimings())
    evacuated = frozenset()
    directory = evacuated_directory.EvacuatedDirectory(members, lambda: evacuated)
    assert directory.candidates("pay") is members.candidates("pay")
    evacuated = frozenset(("b",))
    kept = directory.candidates("pay")
    assert [item.host for item in kept] == ["h1"]
    assert directory.candidates("pay") is kept
    evacuated = frozenset(("a",))
    assert directory.candidates("pay") == ()
    assert directory.candidates("unknown") == ()
    members.announce("pay", record.State.READY, 20, 0.0, 1.0)
    assert directory.candidates("pay") == ()
    evacuated = frozenset()
    assert [item.slots for item in directory.candidates("pay")] == [20]
