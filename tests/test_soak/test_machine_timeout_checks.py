"""The check on answers after the timeout finds planted faults, and none that the rules excuse."""

import pytest

from soak.machines import record, timeout_checks, wire

TIMEOUT_S = 2.0
AT = 10.0


def add_requests(rows, number, took_s, **changed):
    """Adds requests to machine 1 that end `took_s` after their last byte, at about one time."""
    for _ in range(number):
        item = record.Attempt(
            rows.next_id(), "kept", 1, "alpha", "GET", "/s/5/8/length/0", wire.digest(b""), True,
            connected=AT, began=AT, sent=AT, ended=AT + took_s, status=504, end="answer",
            timeout_s=TIMEOUT_S,
        )  # fmt: skip
        for name, value in changed.items():
            setattr(item, name, value)
        rows.attempts.append(item)


def count_found(rows):
    found = list(timeout_checks.find_broken(rows))
    assert {finding.rule for finding in found} <= {"CONFIG"}
    return len(found)


@pytest.mark.parametrize(
    ("late", "in_time", "found"), [(7, 0, 0), (8, 0, 8), (8, 23, 8), (8, 24, 0), (50, 100, 50)]
)
def test_eight_late_answers_that_are_over_a_quarter_are_found(late, in_time, found):
    rows = record.Record()
    add_requests(rows, late, TIMEOUT_S + 0.6)
    add_requests(rows, in_time, TIMEOUT_S + 0.4)
    add_requests(rows, 200, 0.5)
    assert count_found(rows) == found


def test_a_request_without_any_answer_is_found():
    rows = record.Record()
    add_requests(rows, 8, TIMEOUT_S + 2.0, status=0, end="timeout")
    assert count_found(rows) == 8


@pytest.mark.parametrize(
    "excuse",
    [
        {"sent": None},
        {"alone": False},
        {"status": 0, "end": "timeout", "head_at": AT + 1.0},
        {"reads_slowly": True, "head_at": AT + 1.0},
    ],
)
def test_a_client_that_is_late_itself_is_excused(excuse):
    rows = record.Record()
    add_requests(rows, 8, TIMEOUT_S + 2.0, **excuse)
    assert count_found(rows) == 0


@pytest.mark.parametrize(
    "late",
    [
        {"status": 0, "end": "timeout", "head_at": AT + TIMEOUT_S + 0.6},
        {"reads_slowly": True, "head_at": AT + TIMEOUT_S + 0.6},
        {"reads_slowly": True, "end": "timeout"},
        {"head_at": AT + 1.0},
    ],
)
def test_a_late_head_is_found_and_a_late_end_where_the_client_reads_at_once(late):
    rows = record.Record()
    add_requests(rows, 8, TIMEOUT_S + 2.0, **late)
    assert count_found(rows) == 8


@pytest.mark.parametrize(("number", "found"), [(1, 0), (2, 8)])
def test_only_machines_in_touch_are_late(number, found):
    rows = record.Record()
    add_requests(rows, 8, TIMEOUT_S + 0.6)
    rows.happenings.append(record.Happening(AT - 2.0, "node starts", number, "7"))
    assert count_found(rows) == found


@pytest.mark.parametrize(
    ("stall", "found"),
    [((AT - 2.0, AT - 0.1), 8), ((AT + 2.0, AT + 2.5), 0), ((AT + 3.0, AT + 9.0), 8)],
)
def test_a_request_during_which_the_stand_ins_stood_still_is_left_out(stall, found):
    rows = record.Record()
    add_requests(rows, 8, TIMEOUT_S + 0.6)
    rows.stalls.append(stall)
    assert count_found(rows) == found
