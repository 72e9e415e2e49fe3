"""Each check accepts a correct history and finds a violation inserted into it."""

import attrs
import pytest

from standins import history, load

RUN = history.Run("t1", "depot", "a", "POST", "/payments", 1.5, False, "ok")
ATTEMPT = load.Attempt(
    "t1", 1, "team", "key1", "pay", "critical", "n", 1.0, 2.0, 200, "run", "ok", "r1"
)
REFUSED_ATTEMPT = attrs.evolve(ATTEMPT, status=503, verdict="not-run", body="none")


def repeatable(run: history.Run) -> bool:
    return run.method == "GET"


# The end of a run was taken for that of the same number before the upstream was restarted.
def test_runs_of_a_restarted_upstream_keep_their_own_ends():
    start = {"event": "start", "service": "depot", "address": "a", "run": 1, "key_seen": False}
    call = {"method": "POST", "path": "/payments"}
    end = {"event": "end", "address": "a", "run": 1}
    lines = [
        {**start, **call, "tag": "t1", "time": 1.0},
        {**end, "outcome": "ok", "time": 2.0},
        {**start, **call, "tag": "t2", "time": 3.0},
        {**end, "outcome": "failed", "time": 4.0},
    ]
    outcomes = {run.tag: run.outcome for run in history.parse_runs(lines)}
    assert outcomes == {"t1": "ok", "t2": "failed"}


def test_second_run_of_a_non_repeatable_call():
    distinct_runs = [
        attrs.evolve(RUN, service="booking"),
        attrs.evolve(RUN, tag="t2"),
        attrs.evolve(RUN, method="GET"),
        attrs.evolve(RUN, method="GET"),
    ]
    assert history.find_repeated_runs([RUN, *distinct_runs], repeatable) == []
    assert history.find_repeated_runs([RUN, *distinct_runs, RUN], repeatable) == [RUN]


def test_key_seen_by_an_upstream():
    leaked = attrs.evolve(RUN, key_seen=True)
    assert history.find_runs_with_caller_key([RUN, leaked]) == [leaked]


def test_not_run_verdict_of_a_call_that_ran():
    second_attempt = attrs.evolve(ATTEMPT, number=2, start=2.0, end=3.0)
    run_of_second_attempt = attrs.evolve(RUN, start=2.5)
    assert (
        history.find_false_not_run_verdicts(
            [REFUSED_ATTEMPT, second_attempt], [run_of_second_attempt]
        )
        == []
    )
    assert history.find_false_not_run_verdicts([REFUSED_ATTEMPT, second_attempt], [RUN]) == [
        REFUSED_ATTEMPT
    ]
    assert history.find_false_not_run_verdicts([REFUSED_ATTEMPT], [run_of_second_attempt]) == [
        REFUSED_ATTEMPT
    ]


def test_response_without_a_completed_run():
    assert history.find_answers_without_run([ATTEMPT], [RUN]) == []
    assert history.find_answers_without_run([ATTEMPT], [attrs.evolve(RUN, outcome="")]) == [ATTEMPT]


def test_response_to_another_request():
    crossed_attempt = attrs.evolve(ATTEMPT, body="crossed")
    assert history.find_swapped_answers([ATTEMPT, crossed_attempt]) == [crossed_attempt]


def test_run_after_key_withdrawal():
    def violations(withdrawn_at: float) -> list[load.Attempt]:
        return history.find_runs_after_withdrawal([ATTEMPT], [RUN], {"key1": withdrawn_at}, 5.0)

    assert violations(-3.0) == []
    assert violations(-4.5) == [ATTEMPT]


def test_run_started_by_a_draining_upstream():
    assert history.find_runs_started_after([RUN], "a", 1.6) == []
    assert history.find_runs_started_after([RUN], "a", 1.4) == [RUN]


@pytest.mark.parametrize("excess_calls", [0, 1])
def test_rate_and_burst_in_every_window(excess_calls):
    limit = history.Limit(rate=10, burst=5)
    steady = [history.Interval(index / 10, index / 10 + 0.01) for index in range(100)]
    burst = [history.Interval(4.95, 4.96)] * (4 + excess_calls)
    assert bool(history.find_rate_violations(steady + burst, limit)) == bool(excess_calls)


def test_only_calls_that_ran_count_against_the_rate():
    attempts = [ATTEMPT, attrs.evolve(ATTEMPT, tag="t2"), attrs.evolve(ATTEMPT, team="other")]
    assert history.admitted_intervals(attempts, [RUN], "team") == [history.Interval(1.0, 2.0)]
