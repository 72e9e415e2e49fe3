"""Each checker passes a good history and catches a planted fault."""

import attrs
import pytest

from standins import history, load

RUN = history.Run("t1", "depot", "a", "POST", "/payments", 1.5, False, "ok")
ATTEMPT = load.Attempt(
    "t1", 1, "team", "key1", "pay", "critical", "n", 1.0, 2.0, 200, "run", "ok", "r1"
)
REFUSED = attrs.evolve(ATTEMPT, status=503, verdict="not-run", body="none")


def repeatable(run: history.Run) -> bool:
    return run.method == "GET"


def test_doubled_run():
    other = [
        attrs.evolve(RUN, service="booking"),
        attrs.evolve(RUN, tag="t2"),
        attrs.evolve(RUN, method="GET"),
        attrs.evolve(RUN, method="GET"),
    ]
    assert history.doubled([RUN, *other], repeatable) == []
    assert history.doubled([RUN, *other, RUN], repeatable) == [RUN]


def test_key_at_an_upstream():
    leaked = attrs.evolve(RUN, key_seen=True)
    assert history.with_key([RUN, leaked]) == [leaked]


def test_false_not_run():
    retried = attrs.evolve(ATTEMPT, number=2, start=2.0, end=3.0)
    late = attrs.evolve(RUN, start=2.5)
    assert history.false_not_run([REFUSED, retried], [late]) == []
    assert history.false_not_run([REFUSED, retried], [RUN]) == [REFUSED]
    assert history.false_not_run([REFUSED], [late]) == [REFUSED]


def test_answer_without_a_run():
    assert history.answered_without_run([ATTEMPT], [RUN]) == []
    assert history.answered_without_run([ATTEMPT], [attrs.evolve(RUN, outcome="")]) == [ATTEMPT]


def test_crossed_answer():
    wrong = attrs.evolve(ATTEMPT, body="crossed")
    assert history.crossed([ATTEMPT, wrong]) == [wrong]


def test_run_of_a_withdrawn_key():
    def broken(withdrawn_at: float) -> list[load.Attempt]:
        return history.ran_after_withdrawal([ATTEMPT], [RUN], {"key1": withdrawn_at}, 5.0)

    assert broken(-3.0) == []
    assert broken(-4.5) == [ATTEMPT]


def test_new_work_of_a_draining_upstream():
    assert history.started_after([RUN], "a", 1.6) == []
    assert history.started_after([RUN], "a", 1.4) == [RUN]


@pytest.mark.parametrize("extra", [0, 1])
def test_rate_and_burst_in_every_window(extra):
    limit = history.Limit(rate=10, burst=5)
    steady = [history.Interval(at / 10, at / 10 + 0.01) for at in range(100)]
    burst = [history.Interval(4.95, 4.96)] * (4 + extra)
    assert bool(history.above_rate(steady + burst, limit)) == bool(extra)


def test_only_calls_that_ran_count_against_the_rate():
    attempts = [ATTEMPT, attrs.evolve(ATTEMPT, tag="t2"), attrs.evolve(ATTEMPT, team="other")]
    assert history.admitted_intervals(attempts, [RUN], "team") == [history.Interval(1.0, 2.0)]
