"""Membership over time: missed heartbeats, load changes, suspicion, deletion of lost hosts."""

import attrs

from bergamotridge.nodes import change_log, membership, record
from tests.test_nodes import fleet

TIMINGS = membership.MembershipTimings(heartbeat_s=0.5, suspect_s=4.0, forget_s=100.0)
FIRST_SESSION, SECOND_SESSION = 11, 22  # Of two other processes.


def _members(incarnation=1):
    return membership.Membership(fleet.own_record("own", 1, incarnation), TIMINGS)


def _update(host="h1", version=1, suspected=False, **fields):
    updated = attrs.evolve(fleet.own_record(host, 2), version=version, **fields)
    return change_log.RecordUpdate(updated, version, suspected)


def test_an_upstream_is_lost_after_three_missed_heartbeats():
    members = _members()
    members.announce("booking", record.State.READY, 50, 0.0, 10.0)
    members.tick(11.4)
    assert members.candidates("booking")
    members.tick(11.6)
    assert members.own.state is record.State.LOST
    members.announce("booking", record.State.READY, 50, 0.0, 12.0)
    assert members.candidates("booking")


def test_load_changes_publish_few_versions_and_only_briefs():
    members, other = _members(), _members()
    members.announce("booking", record.State.READY, 50, 0.0, 0.0)
    known = members.sequence
    for step in range(1, 400):
        members.announce("booking", record.State.READY, 50, step % 7 / 3, step / 10)
    assert members.own.version <= 2 + 4
    (brief,) = members.delta(known, FIRST_SESSION, 10).updates
    assert isinstance(brief, change_log.BriefUpdate)
    assert other.merge([attrs.evolve(brief, host="h9")], FIRST_SESSION, 0.0) is False


def test_a_brief_with_unknown_details_is_reported_as_incomplete():
    members = _members()
    members.merge([_update(version=1)], FIRST_SESSION, 0.0)
    assert members.merge([change_log.BriefUpdate("h1", 1, 2, 1, 0.5, False)], FIRST_SESSION, 0.0)
    assert not members.merge(
        [change_log.BriefUpdate("h1", 1, 4, 3, 0.5, False)], FIRST_SESSION, 0.0
    )
    assert members.members()[1].load == 0.5


def test_a_lost_host_is_deleted_and_a_suspected_record_does_not_restore_it():
    members, changes = _members(), []
    members.add_listener(lambda found, change: changes.append((found.host, change.value)))
    members.merge([_update()], FIRST_SESSION, 0.0)
    members.suspect("h1", 1.0)
    members.tick(4.9)
    assert len(members.members()) == 2
    members.tick(5.0)
    assert (len(members.members()), len(members.lost())) == (1, 1)
    members.tick(101.0)
    members.merge([_update(suspected=True)], SECOND_SESSION, 102.0)
    assert members.lost() == () and len(members.members()) == 1
    assert [change for _, change in changes] == ["joined", "suspected", "lost", "forgotten"]


def test_a_host_publishes_above_records_of_its_earlier_process():
    members = _members(incarnation=5)
    members.merge([_update("own", version=9, incarnation=7)], FIRST_SESSION, 0.0)
    assert members.own.order > (7, 9)
    order = members.own.order
    members.merge([_update("own", version=2, incarnation=5)], FIRST_SESSION, 0.0)
    assert members.own.order == order


def test_updates_are_paged_and_not_sent_back_to_their_source():
    members = _members()
    members.merge([_update(f"h{n}") for n in range(10)], FIRST_SESSION, 0.0)
    first = members.delta(0, SECOND_SESSION, 4)
    assert (len(first.updates), first.more) == (4, True)
    rest = members.delta(first.sequence, SECOND_SESSION, 100)
    assert (len(rest.updates), rest.more, rest.sequence) == (7, False, members.sequence)
    assert len(members.delta(0, FIRST_SESSION, 100).updates) == 1


def test_pages_include_details_of_hosts_whose_load_changed_between_pages():
    members = _members()
    members.merge([_update(f"h{n}") for n in range(10)], FIRST_SESSION, 0.0)
    members.merge(
        [change_log.BriefUpdate(f"h{n}", 1, 2, 1, 0.5, False) for n in range(3)], FIRST_SESSION, 0.0
    )
    updates, sequence, more = [], 0, True
    while more:
        page = members.delta(sequence, SECOND_SESSION, 4)
        updates += page.updates
        sequence, more = page.sequence, page.more
    detailed = {item.record.host for item in updates if isinstance(item, change_log.RecordUpdate)}
    assert detailed == {"own", *(f"h{n}" for n in range(10))}


def test_size_counts_hosts_as_they_join_are_lost_and_return():
    members = _members()
    assert members.size() == 1
    members.merge([_update("h1"), _update("h2")], FIRST_SESSION, 0.0)
    assert members.size() == 3
    members.suspect("h2", 0.0)
    members.tick(TIMINGS.suspect_s)
    assert members.size() == len(members.members()) == 2
    members.merge([_update("h2", version=2)], FIRST_SESSION, 5.0)
    assert members.size() == 3
    members.suspect("h2", 6.0)
    members.tick(6.0 + TIMINGS.suspect_s)
    members.tick(6.0 + TIMINGS.forget_s)
    assert members.size() == 2
