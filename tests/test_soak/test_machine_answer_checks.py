"""The check on answers that never come finds planted faults, and none that it excuses."""

import pytest

from soak.machines import checks, record, wire

SENT, TIMEOUT_S, PATIENCE_S = 10.0, 2.0, 3.0


def make_rows(**changed):
    """Returns the record of one request that its client has given up."""
    rows = record.Record()
    item = record.Attempt(
        "1a", "kept", 1, "alpha", "GET", "/s/5/8/length/0", wire.digest(b""), True,
        connected=SENT, began=SENT, sent=SENT, ended=SENT + PATIENCE_S, end="timeout",
        timeout_s=TIMEOUT_S,
    )  # fmt: skip
    for name, value in changed.items():
        setattr(item, name, value)
    rows.attempts.append(item)
    return rows


def find(rows):
    return [(finding.rule, finding.kind) for finding in checks.find_broken(rows)]


LOST = [("LOST", "no answer came")]


# A node that reads a request and never answers it passed for a client that was in a hurry.
def test_a_single_request_that_is_never_answered_is_found():
    assert find(make_rows()) == LOST


@pytest.mark.parametrize(
    ("found", "seen"),
    [
        (LOST, {"head_at": SENT + 1.0}),
        (LOST, {"reads_slowly": True}),
        ([], {"reads_slowly": True, "head_at": SENT + 1.0}),
        ([], {"sent": None}),
        ([], {"ended": SENT + TIMEOUT_S + 0.4}),
        ([], {"end": "gave up"}),
    ],
)
def test_a_client_that_does_not_wait_long_enough_finds_nothing(found, seen):
    assert find(make_rows(**seen)) == found


@pytest.mark.parametrize(
    ("found", "machine", "begin", "end"),
    [
        (LOST, 1, SENT - 2.0, SENT),
        (LOST, 1, SENT - 2.0, SENT + 0.4),
        ([], 1, SENT - 2.0, SENT + 0.6),
        (LOST, 1, SENT + 1.0, SENT + 1.4),
        ([], 1, SENT + 1.0, SENT + TIMEOUT_S + 0.6),
        ([], 1, SENT + TIMEOUT_S, None),
        (LOST, 2, SENT, None),
    ],
)
def test_the_time_for_which_a_node_stands_still_does_not_count(found, machine, begin, end):
    rows = make_rows()
    rows.happenings.append(record.Happening(begin, "SIGSTOP", machine, "7"))
    if end is not None:
        rows.happenings.append(record.Happening(end, "SIGCONT", machine, "7"))
    assert find(rows) == found


# The pause of a process that was killed in it excused the next processes of its machine for good.
@pytest.mark.parametrize("exits_at", [SENT - 1.0, SENT + 0.4])
def test_a_pause_ends_with_its_process(exits_at):
    rows = make_rows()
    rows.happenings += [
        record.Happening(SENT - 2.0, "SIGSTOP", 1, "7"),
        record.Happening(exits_at, "node exits", 1, "7 -9 killed"),
        record.Happening(SENT + PATIENCE_S + 1.0, "SIGCONT", 1, "8"),
    ]
    assert LOST[0] in find(rows)


# A pause of a node that had read the request hid that it never answered.
@pytest.mark.parametrize(
    ("begin", "end", "found"),
    [
        (SENT + 0.5, SENT + 1.5, LOST),
        (SENT + 1.0, SENT + TIMEOUT_S + 0.4, LOST),
        (SENT + 1.0, SENT + TIMEOUT_S + 0.6, []),
    ],
)
def test_a_pause_after_the_request_was_read_counts_from_the_timeout_on(begin, end, found):
    rows = make_rows(taken=SENT + 0.01)
    rows.happenings.append(record.Happening(begin, "SIGSTOP", 1, "7"))
    rows.happenings.append(record.Happening(end, "SIGCONT", 1, "7"))
    assert find(rows) == found


@pytest.mark.parametrize(("begin", "found"), [(SENT, LOST), (SENT + TIMEOUT_S, [])])
def test_stand_ins_that_stand_still_past_the_timeout_find_nothing(begin, found):
    rows = make_rows()
    rows.stalls.append((begin, begin + 0.5))
    assert find(rows) == found
