"""Choice of upstream: preference for near ones, spill to far ones, ejection, probes, ramp-up."""

import random

from bergamotridge.balancing import least_loaded
from bergamotridge.nodes import choice, load, record
from bergamotridge.upstreams import outcome


def make_record(host, domain):
    return record.UpstreamRecord(
        host, 1, 1, domain, "r", "depot", record.State.READY, 10, 0.0, "", ""
    )


HOSTS = [make_record("near", "a"), make_record("far-1", "b"), make_record("far-2", "c")]


def make_chooser(own_host="own"):
    return choice.UpstreamChooser(own_host, "a", "r", random.Random(1))


def report_answer(chooser, host, result=outcome.Outcome.OK, gate_load=0.5, now=0.0):
    report = load.LoadReport(gate_load, 10, int(10 * gate_load), 0)
    chooser.record_outcome(host, result, report, 0.01, now)


def report_failure(chooser, host, now):
    chooser.record_outcome(host, outcome.Outcome.FAILED, None, 0.01, now)


def count_choices(chooser, calls, now, gate_load=0.5):
    """Returns how many of `calls` went to each host, all of which report `gate_load` each time."""
    picked = [
        chooser.choose(HOSTS, (), now).host
        for _ in range(calls)
        if _report_load(chooser, gate_load, now)
    ]
    return {item.host: picked.count(item.host) for item in HOSTS}


def _report_load(chooser, gate_load, now):
    """Reports `gate_load` for all hosts; returns True for use as a condition."""
    for item in HOSTS:
        report_answer(chooser, item.host, gate_load=gate_load, now=now)
    return True


def test_near_upstream_is_chosen_until_full_then_the_less_loaded_far_one():
    chooser = make_chooser()
    assert count_choices(chooser, 50, 0.0)["near"] == 50
    report_answer(chooser, "near", gate_load=1.5)
    report_answer(chooser, "far-1", gate_load=0.9)
    report_answer(chooser, "far-2", gate_load=0.2)
    assert chooser.choose(HOSTS, (), 0.0).host == "far-2"
    assert chooser.choose(HOSTS, ("far-2",), 0.0).host == "far-1"
    assert chooser.choose([], (), 0.0) is None


def test_calls_sent_since_the_last_report_count_as_load():
    chooser = make_chooser()
    picked = [chooser.choose(HOSTS, (), 0.0).host for _ in range(30)]
    assert picked[:10] == ["near"] * 10
    assert max(picked.count(item.host) for item in HOSTS) <= 12


def test_only_an_upstream_that_reported_room_lately_is_chosen_for_its_room():
    chooser = make_chooser()
    for host, gate_load in (("near", 1.0), ("far-1", 0.9), ("far-2", 0.5)):
        report_answer(chooser, host, gate_load=gate_load)
    assert chooser.choose_with_room(HOSTS, (), 0.5).host == "far-2"
    assert chooser.choose_with_room(HOSTS, ("far-1", "far-2"), 0.5) is None
    assert chooser.choose_with_room(HOSTS, (), least_loaded.REPORT_TTL_S) is None


def test_a_failing_upstream_is_ejected_then_probed_by_one_call_then_ramped_up():
    chooser = make_chooser()
    for _ in range(choice.FAILURES_TO_EJECT):
        report_failure(chooser, "near", 0.0)
    assert count_choices(chooser, 50, 0.1)["near"] == 0
    later = choice.FIRST_EJECTION_S * 2.6
    probes = [chooser.choose(HOSTS, (), later).host for _ in range(20)]
    assert probes.count("near") == 1
    report_answer(chooser, "near", now=later)
    early = count_choices(chooser, 200, later + 0.1)["near"]
    assert 0 < early < 80
    assert count_choices(chooser, 200, later + choice.RAMP_UP_S)["near"] == 200


def test_timeouts_and_shedding_reported_by_a_gate_do_not_eject_it():
    chooser = make_chooser()
    for _ in range(20):
        report_answer(chooser, "near", outcome.Outcome.TIMED_OUT)
        report_answer(chooser, "near", outcome.Outcome.SHED)
    assert count_choices(chooser, 20, 0.1)["near"] == 20


def report_unreachable(chooser, host, now):
    chooser.record_outcome(host, outcome.Outcome.UNREACHABLE, None, 0.3, now)


def test_an_unreachable_host_is_ejected_by_the_first_failure():
    chooser = make_chooser()
    report_unreachable(chooser, "near", 0.0)
    assert "near" not in {chooser.choose(HOSTS, (), 0.01).host for _ in range(50)}


def test_a_probe_without_a_reported_outcome_is_repeated_after_its_timeout():
    chooser = make_chooser()
    report_unreachable(chooser, "near", 0.0)
    probes = [chooser.choose(HOSTS, (), 10.0).host for _ in range(50)]
    assert probes.count("near") == 1
    later = [chooser.choose(HOSTS, (), 10.0 + choice.PROBE_TIMEOUT_S).host for _ in range(50)]
    assert later.count("near") == 1
