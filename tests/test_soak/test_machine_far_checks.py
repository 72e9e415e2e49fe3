"""The check on calls between machines finds planted faults, and none that it excuses."""

import random

import pytest

from soak.machines import draw, far_checks, record, shape, steps_far

AT, TOOK_S = 10.0, 0.4


def make_rows(
    text="node-failed\n", status=502, run_status=None, fault="", machine=2, run_ended=AT + 0.3
):
    """Returns a request of machine 1, and its run at another one unless `run_status` is None."""
    rows = record.Record()
    path = "/u/5/8/length/0"
    item = record.Attempt(
        "1a", "far kept", 1, "alpha", "PUT", path, "", False, connected=AT, began=AT, sent=AT,
        ended=AT + TOOK_S, status=status, end="answer", text=text,
    )  # fmt: skip
    rows.attempts.append(item)
    if run_status is not None:
        run = record.Run("1a", "i-2", machine, AT, "PUT", path, "", "alpha", fault=fault)
        run.status, run.ended = run_status, run_ended
        rows.runs.append(run)
    return rows


def count_found(rows):
    found = list(far_checks.find_broken(rows))
    assert {finding.rule for finding in found} <= {"GIVEN UP"}
    return len(found)


@pytest.mark.parametrize(
    ("rows", "found"),
    [
        (make_rows(), 1),
        (make_rows("cancelled\n"), 1),
        (make_rows("upstream-failed\n"), 0),
        (make_rows("upstream-failed\n", run_status=200), 1),
        (make_rows(run_status=200, fault="answer ends early"), 0),
        (make_rows(run_status=0), 0),
        # A node that ended a call while the server worked on it was not seen.
        (make_rows(run_status=200, run_ended=AT + TOOK_S + 0.1), 1),
        (make_rows(run_status=0, run_ended=None), 1),
        (make_rows("upstream-failed\n", run_status=0, run_ended=None), 0),
        (make_rows(run_status=200, run_ended=AT + TOOK_S + 0.1, fault="answer ends early"), 0),
        (make_rows("deadline\n", run_status=200), 1),
        (make_rows("deadline\n", run_status=200, run_ended=AT + TOOK_S), 1),
        # The server answered after the node had given up at the route's timeout.
        (make_rows("deadline\n", run_status=200, run_ended=AT + TOOK_S + 0.01), 0),
        (make_rows(status=503), 0),
        # An answer that was whole and is never passed on ends as 504 of the node's own.
        (make_rows("deadline\n", status=504, run_status=200, run_ended=AT + 0.1), 1),
        (make_rows("deadline\n", status=504, run_status=200, run_ended=AT + 0.3), 0),
        (make_rows("shed\n", status=503, run_status=200, run_ended=AT + 0.1), 1),
    ],
)
def test_a_request_that_was_given_up_without_a_reason_is_found(rows, found):
    assert count_found(rows) == found


# A node that was frozen past the timeout was blamed for an answer that had come too late.
@pytest.mark.parametrize(
    ("found", "status", "run_ended", "timeout_s"),
    [
        (1, 504, AT + 0.75, 1.0),
        (0, 504, AT + 0.85, 1.0),
        (0, 504, AT + 1.1, 1.0),
        (1, 504, AT + 0.95, 1.2),
        (1, 502, AT + 1.1, 1.0),
        (1, 503, AT + 1.1, 1.0),
    ],
)
def test_an_answer_after_the_timeout_may_be_replaced_by_504(found, status, run_ended, timeout_s):
    rows = make_rows("deadline\n", status, run_status=200, run_ended=run_ended)
    rows.attempts[0].ended, rows.attempts[0].timeout_s = AT + 3.3, timeout_s
    assert count_found(rows) == found


# A node that stood still from the answer to the timeout was blamed for its 504.
@pytest.mark.parametrize(
    ("found", "status", "machine", "begin", "end"),
    [
        (0, 504, 1, 0.2, 1.2),
        (0, 504, 1, 0.45, 1.2),
        (1, 504, 1, 0.55, 1.2),
        (1, 504, 1, 0.2, 0.75),
        (0, 504, 2, 0.2, 1.2),
        (1, 504, 3, 0.2, 1.2),
        (1, 503, 1, 0.2, 1.2),
        (1, 502, 1, 0.2, 1.2),
    ],
)
def test_a_node_that_stands_still_until_the_timeout_may_answer_504(
    found, status, machine, begin, end
):
    rows = make_rows("deadline\n", status, run_status=200)
    rows.attempts[0].ended, rows.attempts[0].timeout_s = AT + 1.3, 1.0
    for at, what in ((begin, "SIGSTOP"), (end, "SIGCONT")):
        rows.happenings.append(record.Happening(AT + at, what, machine, "7"))
    assert count_found(rows) == found


# The end of an answer that stand-ins under load could not yet send was taken for given up.
@pytest.mark.parametrize(
    ("found", "status", "stall"),
    [
        (0, 504, (AT + 0.2, AT + 0.6)),
        (0, 504, (AT + 0.5, AT + 0.9)),
        (1, 504, (AT + 0.1, AT + 0.25)),
        (1, 503, (AT + 0.2, AT + 0.6)),
        (1, 502, (AT + 0.2, AT + 0.6)),
    ],
)
def test_an_answer_that_stand_ins_had_not_sent_may_be_replaced_by_504(found, status, stall):
    rows = make_rows("deadline\n", status, run_status=200)
    rows.attempts[0].ended = AT + 1.0
    rows.stalls.append(stall)
    assert count_found(rows) == found


@pytest.mark.parametrize(
    ("what", "machine", "at", "found"),
    [
        ("SIGKILL", 2, AT, 0),
        ("SIGKILL", 3, AT, 1),
        ("server ends", 2, AT, 0),
        ("SIGTERM", 2, AT, 1),
        ("SIGTERM", 2, AT - 5.0, 0),
        ("SIGTERM", 3, AT - 5.0, 1),
        ("SIGTERM", 2, AT - 8.0, 1),
    ],
)
def test_an_end_at_a_machine_of_the_request_excuses_it(what, machine, at, found):
    rows = make_rows(run_status=200)
    rows.happenings.append(record.Happening(at, what, machine))
    assert count_found(rows) == found


# A step whose clients asked for another service would not meet the node that stops.
def test_clients_ask_for_the_service_of_the_machine_that_stops():
    drawn = draw.KINDS["far"][1](random.Random(1), 8)
    assert drawn["askers"] and drawn["what"] in ("stops", "reloads", "both")
    narrowed = steps_far.narrow(shape.load("repairs"), "parts")
    assert {kind.name for kind in narrowed.kinds} == {"pay"}
    assert [item.name for item in narrowed.services] == ["parts"]
