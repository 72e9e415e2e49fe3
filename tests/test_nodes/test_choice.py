"""Choice of upstream: near first, spill, ejection and a return without a herd."""

import random

from bergamotridge.nodes import choice, load, record
from bergamotridge.upstreams import outcome


def described(host, domain):
    return record.UpstreamRecord(
        host, 1, 1, domain, "r", "depot", record.State.READY, 10, 0.0, "", ""
    )


HOSTS = [described("near", "a"), described("far-1", "b"), described("far-2", "c")]


def chooser(own_host="own"):
    return choice.Chooser(own_host, "a", "r", random.Random(1))


def answer(chosen, host, result=outcome.Outcome.OK, share=0.5, now=0.0):
    report = load.LoadReport(share, 10, int(10 * share), 0)
    chosen.report(host, result, report, 0.01, now)


def fail(chosen, host, now):
    chosen.report(host, outcome.Outcome.FAILED, None, 0.01, now)


def counts(chosen, calls, now, share=0.5):
    picked = [chosen.choose(HOSTS, (), now).host for _ in range(calls) if _load(chosen, share, now)]
    return {item.host: picked.count(item.host) for item in HOSTS}


def _load(chosen, share, now):
    for item in HOSTS:
        answer(chosen, item.host, share=share, now=now)
    return True


def test_near_comes_first_and_overflows_only_when_full():
    chosen = chooser()
    assert counts(chosen, 50, 0.0)["near"] == 50
    answer(chosen, "near", share=1.5)
    answer(chosen, "far-1", share=0.9)
    answer(chosen, "far-2", share=0.2)
    assert chosen.choose(HOSTS, (), 0.0).host == "far-2"
    assert chosen.choose(HOSTS, ("far-2",), 0.0).host == "far-1"
    assert chosen.choose([], (), 0.0) is None


def test_calls_sent_since_the_last_report_count_as_load():
    chosen = chooser()
    picked = [chosen.choose(HOSTS, (), 0.0).host for _ in range(30)]
    assert picked[:10] == ["near"] * 10
    assert max(picked.count(item.host) for item in HOSTS) <= 12


def test_a_failing_upstream_is_ejected_probed_alone_and_returns_slowly():
    chosen = chooser()
    for _ in range(choice.FAILURES_TO_EJECT):
        fail(chosen, "near", 0.0)
    assert counts(chosen, 50, 0.1)["near"] == 0
    later = choice.EJECTION_S * 2.6
    probes = [chosen.choose(HOSTS, (), later).host for _ in range(20)]
    assert probes.count("near") == 1
    answer(chosen, "near", now=later)
    early = counts(chosen, 200, later + 0.1)["near"]
    assert 0 < early < 80
    assert counts(chosen, 200, later + choice.RETURN_S)["near"] == 200


def test_refusals_of_a_full_gate_are_not_failures():
    chosen = chooser()
    for _ in range(20):
        answer(chosen, "near", outcome.Outcome.TIMED_OUT)
        answer(chosen, "near", outcome.Outcome.SHED)
    assert counts(chosen, 20, 0.1)["near"] == 20


def unreachable(chosen, host, now):
    chosen.report(host, outcome.Outcome.UNREACHABLE, None, 0.3, now)


def test_a_host_that_cannot_be_reached_is_left_out_at_once():
    chosen = chooser()
    unreachable(chosen, "near", 0.0)
    assert "near" not in {chosen.choose(HOSTS, (), 0.01).host for _ in range(50)}


def test_a_probe_whose_end_is_never_told_does_not_stay_the_last():
    chosen = chooser()
    unreachable(chosen, "near", 0.0)
    probes = [chosen.choose(HOSTS, (), 10.0).host for _ in range(50)]
    assert probes.count("near") == 1
    later = [chosen.choose(HOSTS, (), 10.0 + choice.PROBE_S).host for _ in range(50)]
    assert later.count("near") == 1
