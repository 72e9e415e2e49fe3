"""Requests that a machine cuts off are counted beside a change and at other times."""

import pytest

from soak.machines import access, cuts, record

AT = 20.0


def add(rows, began, status=200, end="answer", sealed=True, runs=1, taken=None):
    """Adds a request of machine 1 that takes half a second."""
    item = record.Attempt(
        rows.next_id(), "kept", 1, "alpha", "GET", "/s/5/8/length/0", "", True, connected=began,
        began=began, sent=began, ended=began + 0.5, status=status, end=end, sealed=sealed,
        taken=taken,
    )  # fmt: skip
    rows.attempts.append(item)
    for _ in range(runs):
        rows.runs.append(record.Run(item.id, "i-2", 2, began, "GET", item.path, "", "alpha"))
    return rows


@pytest.mark.parametrize(
    ("seen", "is_cut"),
    [
        ({}, 0),
        ({"status": 502, "sealed": False}, 1),
        ({"status": 502, "sealed": False, "runs": 0}, 0),
        ({"status": 503, "sealed": False, "runs": 0}, 0),
        ({"status": 0, "end": "closed"}, 1),
        ({"status": 0, "end": "reset", "runs": 0}, 0),
        ({"status": 0, "end": "reset", "runs": 0, "taken": AT}, 1),
    ],
)
@pytest.mark.parametrize("began", [AT + 0.1, AT + 10.0])
def test_a_request_counts_as_cut_if_it_was_read_and_has_no_answer_of_a_server(began, seen, is_cut):
    rows = add(record.Record(), began, **seen)
    rows.configurations.append(record.Configuration(AT, 3, access.Access({}, {})))
    expected = cuts.Cuts(1, is_cut, 0, 0) if began == AT + 0.1 else cuts.Cuts(0, 0, 1, is_cut)
    assert cuts.count(rows) == {1: expected}


def test_a_sighup_of_another_machine_is_no_change_and_a_stop_leaves_requests_out():
    rows = add(record.Record(), AT)
    rows.happenings.append(record.Happening(AT, "SIGHUP", 2))
    assert cuts.count(rows) == {1: cuts.Cuts(other=1)}
    rows.happenings.append(record.Happening(AT, "SIGHUP", 1))
    assert cuts.count(rows) == {1: cuts.Cuts(beside=1)}
    rows.happenings.append(record.Happening(AT - 1.0, "SIGTERM", 1))
    assert cuts.count(rows) == {}
