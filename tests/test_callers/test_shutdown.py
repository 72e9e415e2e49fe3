"""Which calls a stopping node refuses, and how it names those that it cuts off."""

import pytest

from bergamotridge.callers import shutdown

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
    stop.begin(CLOSES_AT)
    assert stop.reason_of(reason, now) == expected
