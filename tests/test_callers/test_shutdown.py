"""Which calls a stopping node refuses, and how it names those that it cuts off."""

import pytest

from bergamotridge import errors, verdict
from bergamotridge.callers import shutdown

REFUSES_FROM = 97.0
CLOSES_AT = 100.0


@pytest.mark.parametrize(
    ("reason", "now", "expected"),
    [
        ("cancelled", CLOSES_AT - 1.0, "cancelled"),
        ("cancelled", CLOSES_AT, "node-stopped"),
        ("deadline", CLOSES_AT, "deadline"),
    ],
)
# In the logs, a call that the stop cut off could not be told from one that its caller had left.
def test_a_call_that_the_stop_cuts_off_is_not_named_as_left_by_its_caller(reason, now, expected):
    stop = shutdown.Shutdown()
    assert stop.reason_of("cancelled", CLOSES_AT) == "cancelled"
    stop.begin(REFUSES_FROM, CLOSES_AT)
    assert stop.reason_of(reason, now) == expected


@pytest.mark.parametrize(
    ("deadline", "now", "refused"),
    [
        (CLOSES_AT + 5.0, REFUSES_FROM - 0.1, False),
        (CLOSES_AT + 5.0, REFUSES_FROM, True),
        (CLOSES_AT - 0.5, REFUSES_FROM, False),
        (CLOSES_AT, REFUSES_FROM, True),
    ],
)
# The refusal began whenever the platform had answered, as a later step of the stop began it.
def test_calls_that_might_be_cut_off_are_refused_from_a_time_that_is_known_at_the_start(
    deadline, now, refused
):
    stop = shutdown.Shutdown()
    stop.check("r", deadline, now)
    stop.begin(REFUSES_FROM, CLOSES_AT)
    if not refused:
        stop.check("r", deadline, now)
        return
    with pytest.raises(errors.CallError) as caught:
        stop.check("r", deadline, now)
    assert caught.value.reason == "draining"
    assert caught.value.verdict is verdict.Verdict.NOT_RUN
