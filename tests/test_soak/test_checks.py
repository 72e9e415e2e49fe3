"""Each check of the soak accepts a history without faults and finds one that is planted."""

import attrs
import pytest

from soak import answers, checks, disturbances, observations, operators
from standins import fleet, history, load

ADDRESSES = fleet.Addresses("a:1", "a:2", "a:3", "a:4", "a:5", "a:6", "a:3", "a:4")
HOSTS = {"a:1": "h1"}
RUN = history.Run("t1", "back", "a:6", "POST", "/payments", 10.5, False, "ok")
ATTEMPT = load.Attempt(
    "t1", 1, "large", "key1", "POST /payments", "", "a:1", 10.0, 11.0, 200, "run", "ok", "r1"
)
LOST = attrs.evolve(ATTEMPT, status=0, verdict="", body="none", error="closed")
FAILED = attrs.evolve(ATTEMPT, status=502, verdict="may-have-run", body="none")


def disturbance(cause, start, end, part=disturbances.Part.NODE, host="h1", planned=True):
    return disturbances.Disturbance(part, cause, host, start, end, planned)


STOP = disturbance(disturbances.Cause.STOP, 9.0, 12.0)


def find_lost(attempt, *entries, runs=()):
    return answers.find_lost([attempt], runs, {"h1": entries}, HOSTS)


def test_request_read_and_dropped_in_a_planned_stop():
    assert find_lost(LOST, STOP) == [LOST]
    assert find_lost(ATTEMPT, STOP) == []


def test_request_dropped_behind_a_link_is_not_held_against_the_node():
    assert find_lost(attrs.evolve(LOST, target="link:1"), STOP) == []


def test_request_dropped_by_a_killed_node_is_allowed():
    assert find_lost(LOST, disturbance(disturbances.Cause.KILL, 10.2, 10.4)) == []
    assert find_lost(LOST, disturbance(disturbances.Cause.KILL, 11.2, 11.4)) == [LOST]


def test_request_dropped_by_a_paused_node_is_allowed_only_in_a_stop():
    pause = disturbance(disturbances.Cause.PAUSE, 9.5, 11.5)
    assert find_lost(LOST, STOP, pause) == []
    assert find_lost(LOST, pause) == [LOST]


@pytest.mark.parametrize("error", answers.UNREAD_ERRORS)
def test_request_that_was_not_read_is_lost_only_if_it_ran(error):
    unread = attrs.evolve(LOST, error=error)
    assert find_lost(unread, STOP) == []
    assert find_lost(unread, STOP, runs=[RUN]) == [unread]


def test_request_given_up_by_its_caller_is_lost_only_after_a_long_time():
    hasty = attrs.evolve(LOST, error="timeout", end=10.3)
    patient = attrs.evolve(LOST, error="timeout", end=25.0)
    assert find_lost(hasty) == []
    assert find_lost(patient) == [patient]


def test_incomplete_good_answer():
    cut = attrs.evolve(ATTEMPT, body="cut")
    assert answers.find_incomplete([ATTEMPT]) == []
    assert answers.find_incomplete([cut]) == [cut]


def test_call_that_fails_in_a_planned_stop_in_calm():
    refused = attrs.evolve(FAILED, status=503, verdict="not-run")
    other_stop = attrs.evolve(STOP, host="h2")
    slow = disturbance(disturbances.Cause.FAULT, 9.0, 12.0, disturbances.Part.UPSTREAM)
    platform = disturbance(disturbances.Cause.FAULT, 9.0, 12.0, disturbances.Part.PLATFORM, "")
    assert answers.find_failed_in_calm([ATTEMPT, refused], [STOP]) == []
    assert answers.find_failed_in_calm([FAILED], [STOP]) == [FAILED]
    assert answers.find_failed_in_calm([attrs.evolve(FAILED, end=13.0)], [STOP]) == []
    assert answers.find_failed_in_calm([FAILED], [STOP, platform]) == [FAILED]
    assert answers.find_failed_in_calm([FAILED], [STOP, other_stop]) == []
    assert answers.find_failed_in_calm([FAILED], [STOP, slow]) == []


CHANGES = {1: operators.Change(0.0, 0.0), 2: operators.Change(10.0, 11.0)}


def observe(generation, start, status):
    probe = observations.Probe("h1", generation, start, start + 0.1, status)
    return observations.observe_generations([probe], CHANGES)


def test_probe_tells_which_generations_are_in_force():
    def in_force(*probe):
        return {item.change: item.in_force for item in observe(*probe)}

    assert in_force(1, 9.0, 200) == {1: True}
    assert in_force(1, 12.0, 200) == {1: True, 2: False}
    assert in_force(2, 12.0, 200) == {1: True, 2: True}
    assert in_force(2, 12.0, 404) == {2: False}
    assert in_force(1, 12.0, 404) == {}
    assert in_force(2, 12.0, 503) == {}


def find_late(start, *entries):
    observed = observe(1, start, 200)
    late = observations.find_late(observed, CHANGES, {"h1": entries}, 5.0)
    return [item.change for item in late]


def test_change_that_comes_late():
    assert find_late(15.9) == []
    assert find_late(16.1) == [2]


@pytest.mark.parametrize(
    "cause", [disturbances.Cause.PAUSE, disturbances.Cause.DOWN, disturbances.Cause.FAULT]
)
def test_change_counts_as_late_only_at_hosts_in_touch(cause):
    entry = disturbance(cause, 13.0, 14.0)
    assert find_late(18.0, entry) == []
    assert find_late(19.1, entry) == [2]
    assert find_late(19.1, entry, disturbance(cause, 15.0, 16.0)) == []


def test_restarted_host_has_the_time_again():
    down = disturbance(disturbances.Cause.DOWN, 30.0, 31.0)
    pause = disturbance(disturbances.Cause.PAUSE, 30.0, 31.0)
    assert find_late(32.0, down) == []
    assert find_late(32.0, pause) == [2]


def test_change_that_is_reverted():
    restart = disturbance(disturbances.Cause.DOWN, 13.0, 14.0)
    old, new, old_again = observe(1, 11.5, 200), observe(2, 12.0, 200), observe(1, 15.0, 200)

    def reverted(observed, *entries):
        return [item.change for item in observations.find_reverted(observed, {"h1": entries})]

    assert reverted([*old, *new]) == []
    assert reverted([*new, *old_again]) == [2]
    assert reverted([*new, *old_again], restart) == []


def test_withdrawn_key_that_is_accepted():
    withdrawals = {"key1": operators.Change(1.0, 2.0)}
    early = attrs.evolve(ATTEMPT, status=401, tag="t0", start=0.1, end=0.2)
    refused = attrs.evolve(ATTEMPT, status=401, verdict="not-run", tag="t2")
    later = attrs.evolve(ATTEMPT, start=12.0, end=13.0)
    observed = observations.observe_withdrawals([early, refused, later], [RUN], withdrawals, HOSTS)
    assert [item.in_force for item in observed] == [True, False]
    undisturbed = {"h1": ()}
    assert [
        item.start for item in observations.find_late(observed, withdrawals, undisturbed, 5.0)
    ] == [12.0]
    assert [item.start for item in observations.find_reverted(observed, undisturbed)] == [12.0]


def find_promises(**changes):
    evidence = checks.Evidence(
        attempts=[ATTEMPT],
        runs=[RUN],
        probes=[],
        generations=CHANGES,
        withdrawals={},
        log=[],
        addresses={"h1": ADDRESSES},
    )
    return {item.promise for item in checks.find_violations(attrs.evolve(evidence, **changes))}


def test_evidence_without_faults_breaks_no_promise():
    assert find_promises() == set()


@pytest.mark.parametrize(
    ("changes", "promise"),
    [
        ({"attempts": [attrs.evolve(ATTEMPT, body="crossed")]}, "each answer is whole"),
        ({"attempts": [attrs.evolve(ATTEMPT, body="cut")]}, "each answer is whole"),
        ({"runs": []}, "each answer is whole"),
        ({"runs": [RUN, RUN]}, "a call that may not be repeated"),
        ({"runs": [attrs.evolve(RUN, key_seen=True)]}, "no upstream sees a key"),
        ({"attempts": [attrs.evolve(FAILED, verdict="not-run")]}, "a refusal as not run"),
        ({"attempts": [attrs.evolve(FAILED, status=401)]}, "a valid key is not refused"),
        ({"attempts": [LOST]}, "a request that was read"),
        ({"attempts": [FAILED]}, "a planned stop fails no call"),
        (
            {
                "attempts": [attrs.evolve(ATTEMPT, team="tiny", tag=f"t{n}") for n in range(9)],
                "runs": [attrs.evolve(RUN, tag=f"t{n}") for n in range(9)],
            },
            "a team keeps to its rate",
        ),
        (
            {"log": [disturbance(disturbances.Cause.STOP, 8.0, 20.0, disturbances.Part.UPSTREAM)]},
            "a draining upstream",
        ),
        (
            {"probes": [observations.Probe("h1", 1, 17.0, 17.1, 200)]},
            "a changed text is in force",
        ),
        (
            {
                "probes": [
                    observations.Probe("h1", 2, 12.0, 12.1, 200),
                    observations.Probe("h1", 1, 13.0, 13.1, 200),
                ]
            },
            "a changed text stays",
        ),
        (
            {"withdrawals": {"key1": operators.Change(1.0, 2.0)}},
            "a withdrawn key is refused",
        ),
        (
            {
                "withdrawals": {"key1": operators.Change(1.0, None)},
                "attempts": [
                    attrs.evolve(ATTEMPT, tag="t0", status=401, start=8.0, end=9.0),
                    ATTEMPT,
                ],
            },
            "a withdrawn key stays",
        ),
    ],
)
def test_planted_fault_breaks_its_promise(changes, promise):
    (broken,) = find_promises(**changes)
    assert broken.startswith(promise)


def test_draining_upstream_may_get_work_while_its_node_is_disturbed():
    stop = disturbance(disturbances.Cause.STOP, 8.0, 20.0, disturbances.Part.UPSTREAM)
    killed = disturbance(disturbances.Cause.DOWN, 8.1, 9.0)
    assert find_promises(log=[stop, killed]) == set()
