"""Each check of the soak of machines finds a planted fault, and none where the rules excuse it."""

import pytest

from soak.machines import checks, client, draw, record, wire


def make_rows(*, status=200, end="answer", sent=10.1, ended=10.5, runs=1, **changed):
    """Returns the record of one request from machine 1 that ran on machine 2."""
    rows = record.Record()
    item = record.Attempt(
        "1a", "kept", 1, "alpha", "POST", "/u/5/8/length/0", wire.digest(b""), False,
        connected=9.0, began=10.0, sent=sent, ended=ended, status=status, end=end,
    )  # fmt: skip
    item.whole = item.sealed = status == 200
    rows.attempts.append(item)
    for _ in range(runs):
        run = record.Run(
            "1a", "i-2", 2, 10.2, "POST", item.path, item.digest, "alpha", "beta", "beta.test",
            ended=10.3, status=200,
        )  # fmt: skip
        rows.runs.append(run)
    for name, value in changed.items():
        for row in (item, *rows.runs):
            if hasattr(row, name):
                setattr(row, name, value)
    return rows


def happen(rows, *happenings):
    """Adds happenings, each a time, what, the machine and a detail."""
    rows.happenings += [record.Happening(*item) for item in happenings]
    return rows


def find_rules(rows):
    return [finding.rule for finding in checks.find_broken(rows)]


def test_a_request_that_is_answered_breaks_no_rule():
    assert find_rules(make_rows()) == []


@pytest.mark.parametrize(
    ("rules", "seen"),
    [
        (["LOST"], {"status": 0, "end": "closed", "runs": 0}),
        (["LOST"], {"status": 0, "end": "reset"}),
        (["LOST"], {"status": 0, "end": "reset", "runs": 0}),
        (["LOST"], {"status": 0, "end": "reset", "runs": 0, "looked": 10.05}),
        (["LOST"], {"status": 0, "end": "reset", "runs": 0, "looked": 10.4, "taken": 10.2}),
        ([], {"status": 0, "end": "reset", "runs": 0, "looked": 10.4}),
        ([], {"status": 0, "end": "torn"}),
        (["TWICE"], {"status": 0, "end": "torn", "runs": 2}),
        ([], {"status": 0, "end": "reset", "runs": 0, "ended": 10.25}),
        ([], {"status": 0, "end": "closed", "runs": 0, "ended": 10.25}),
        ([], {"status": 0, "end": "closed", "runs": 0, "sent": None}),
        (["TWICE"], {"runs": 2}),
        ([], {"runs": 2, "safe": True}),
        (["REFUSED"], {"status": 503}),
        (["REFUSED"], {"status": 421}),
        ([], {"status": 503, "runs": 0}),
        ([], {"status": 502}),
        (["MIXED"], {"whole": False}),
        (["MIXED"], {"sealed": False}),
        (["MIXED"], {"runs": 0}),
        (["UNASKED"], {"caller_service": "beta"}),
        (["ROUTE"], {"host": "gamma.test"}),
    ],
)
def test_a_planted_fault_is_found_and_what_is_excused_is_not(rules, seen):
    assert find_rules(make_rows(**seen)) == rules


# An idle close that crossed a request was seen late, as the stand-ins stood still, and was LOST.
@pytest.mark.parametrize(
    ("rules", "stall", "seen"),
    [
        ([], (10.05, 10.4), {}),
        ([], (10.2, 10.6), {"looked": 10.05}),
        (["LOST"], (10.3, 10.45), {}),
        (["LOST"], (10.05, 10.4), {"reused": False}),
        (["LOST"], (10.05, 10.4), {"taken": 10.2, "looked": 10.2}),
        (["LOST"], (10.05, 10.4), {"looked": 10.15}),
        (["LOST"], (10.05, 10.4), {"runs": 1}),
    ],
)
def test_the_time_in_which_stand_ins_stood_still_does_not_make_an_end_late(rules, stall, seen):
    rows = make_rows(**{"status": 0, "end": "reset", "reused": True, "runs": 0} | seen)
    rows.stalls.append(stall)
    assert find_rules(rows) == rules


# An own refusal that kept the server's seal passed for the server's.
@pytest.mark.parametrize(("given", "rules"), [(200, ["MIXED"]), (-1, []), (503, [])])
def test_a_sealed_failure_with_another_status_than_the_servers_is_found(given, rules):
    rows = make_rows(status=503, sealed=True)
    rows.runs[0].status = given
    assert find_rules(rows) == rules


@pytest.mark.parametrize("name", ["method", "path", "digest"])
def test_a_request_that_runs_changed_is_found(name):
    rows = make_rows()
    setattr(rows.runs[0], name, "other")
    assert find_rules(rows) == ["UNASKED"]


def test_a_run_that_nobody_asked_for_is_found():
    rows = make_rows()
    rows.runs[0].id = "2b"
    assert find_rules(rows) == ["UNASKED", "MIXED"]


@pytest.mark.parametrize(
    "excuse",
    [
        (10.3, "SIGKILL", 1, "7"),
        (10.3, "SIGKILL", 2, "8"),
        (10.3, "server ends", 2, "i-2"),
    ],
)
def test_a_kill_on_the_way_excuses_a_request_that_ran(excuse):
    assert find_rules(happen(make_rows(status=0, end="reset"), excuse)) == []


def test_a_kill_elsewhere_excuses_no_lost_request():
    rows = happen(make_rows(status=0, end="closed"), (10.3, "SIGKILL", 3, "9"))
    assert find_rules(rows) == ["LOST"]


# A machine whose connections are reset passes for one that may lose any request.
def test_a_reset_excuses_no_request_on_another_connection():
    rows = happen(make_rows(status=0, end="closed"), (10.3, "connections reset", 1, "clients"))
    assert find_rules(rows) == ["LOST"]


# A machine that the store turns away, or that leaves for good, passes for a broken one.
@pytest.mark.parametrize("what", ["store cut", "machine leaves"])
def test_neither_a_cut_from_the_store_nor_the_leave_of_a_machine_excuses_a_lost_request(what):
    rows = happen(make_rows(status=0, end="closed"), (10.1, what, 1, ""), (10.1, what, 2, ""))
    assert find_rules(rows) == ["LOST"]


def test_a_kill_at_the_end_of_grace_excuses_no_request_of_the_stop():
    rows = happen(
        make_rows(status=0, end="reset", began=9.9),
        (4.4, "SIGTERM", 1, "7"),
        (10.4, "grace is over", 1, "7"),
        (10.4, "SIGKILL", 1, "7"),
    )
    assert find_rules(rows) == ["GRACE", "LOST"]


# An answer of the node's own in a stop passes for allowed, or a stop for one that began later.
@pytest.mark.parametrize(
    ("rules", "sent", "happenings"),
    [
        (["LOST"], 10.1, [(9.5, "SIGTERM", 1, "7")]),
        (["LOST"], 8.3, [(5.6, "SIGTERM", 1, "7")]),
        ([], 8.3, [(5.4, "SIGTERM", 1, "7")]),
        (["LOST"], 8.5, [(5.4, "SIGTERM", 1, "7")]),
        (["LOST"], 10.1, [(3.6, "SIGTERM", 1, "7")]),
        ([], 10.1, [(3.4, "SIGTERM", 1, "7")]),
        ([], 8.3, [(5.4, "SIGTERM", 1, "7"), (8.0, "SIGTERM", 1, "7")]),
        (["LOST"], 10.1, [(5.4, "SIGTERM", 1, "7"), (9.0, "SIGTERM", 1, "7")]),
        ([], 10.1, [(3.4, "SIGTERM", 1, "7"), (9.0, "SIGTERM", 1, "7")]),
        (["LOST"], 8.3, [(5.4, "SIGTERM", 1, "7"), (8.0, "SIGTERM", 1, "8")]),
        (
            [],
            8.3,
            [(5.4, "SIGTERM", 1, "7"), (9.1, "node starts", 1, "8"), (9.5, "SIGTERM", 1, "8")],
        ),
        ([], 10.1, [(9.5, "SIGTERM", 3, "9")]),
    ],
)
def test_an_own_answer_counts_from_the_first_sigterm_of_a_process(rules, sent, happenings):
    assert find_rules(happen(make_rows(status=502, sent=sent), *happenings)) == rules


# A node that stops refuses a request at which a server is at work: 503 passed for harmless if the
# request may be repeated.
@pytest.mark.parametrize("status", [302, 404, 429, 500, 502, 503, 504])
@pytest.mark.parametrize(("sealed", "rules"), [(False, ["LOST"]), (True, [])])
def test_any_own_answer_in_a_stop_in_place_of_a_safe_answer_is_found(status, sealed, rules):
    rows = make_rows(status=status, safe=True, sealed=sealed)
    rows.runs[0].status = status if sealed else 200
    assert find_rules(happen(rows, (9.5, "SIGTERM", 1, "7"))) == rules


def test_an_own_answer_to_a_safe_request_that_no_server_ran_is_no_loss():
    rows = make_rows(status=503, safe=True, runs=0)
    assert find_rules(happen(rows, (9.5, "SIGTERM", 1, "7"))) == []


# A server that gives up at the deadline it was told hides that the node cut its time.
@pytest.mark.parametrize(("ended", "rules"), [(10.45, ["LOST"]), (10.3, [])])
def test_a_run_that_gives_up_as_the_node_answers_was_at_work(ended, rules):
    rows = make_rows(status=504)
    rows.runs[0].ended, rows.runs[0].status = ended, 504
    assert find_rules(happen(rows, (5.4, "SIGTERM", 1, "7"))) == rules


# A body that takes long hides an answer of the node's own, as if the route's timeout were over.
@pytest.mark.parametrize(
    ("timeout_s", "rules"), [(1.0, ["LOST"]), (0.42, ["LOST"]), (0.405, []), (0.3, [])]
)
def test_the_timeout_of_a_route_begins_with_the_last_byte(timeout_s, rules):
    rows = make_rows(status=504, began=8.0, timeout_s=timeout_s)
    assert find_rules(happen(rows, (9.5, "SIGTERM", 1, "7"))) == rules


@pytest.mark.parametrize(("again", "text"), [(8.0, "5.10 s after the first"), (5.4, "5.10 s")])
def test_the_moment_of_a_loss_counts_from_the_first_sigterm(again, text):
    rows = make_rows(status=0, end="closed", sent=9.0)
    happen(rows, (5.4, "SIGTERM", 1, "7"), (again, "SIGTERM", 1, "7"))
    (found,) = checks.find_broken(rows)
    assert text in found.text
    assert "3 to 6 s after SIGTERM" in found.kind


@pytest.mark.parametrize(
    ("rules", "happenings"),
    [
        (["DRAIN"], [(8.0, "leave confirmed", 2, "i-2")]),
        ([], [(8.3, "leave confirmed", 2, "i-2")]),
        ([], [(8.0, "leave confirmed", 2, "i-2"), (9.0, "node starts", 1, "7")]),
        (
            [],
            [
                (8.0, "leave confirmed", 2, "i-2"),
                (9.0, "store trouble", 0, ""),
                (9.5, "store works again", 0, ""),
            ],
        ),
        ([], [(8.0, "leave confirmed", 2, "i-2"), (9.0, "connections reset", 1, "store")]),
        (["DRAIN"], [(8.0, "leave confirmed", 2, "i-2"), (9.0, "connections reset", 2, "store")]),
        ([], [(8.0, "leave confirmed", 2, "i-2"), (9.0, "clock step", 1, "+2 s")]),
        (["DRAIN"], [(8.0, "leave confirmed", 2, "i-2"), (9.0, "clock step", 2, "+2 s")]),
        ([], [(8.0, "leave confirmed", 2, "i-2"), (9.0, "store cut", 1, "busy")]),
        (["DRAIN"], [(8.0, "leave confirmed", 2, "i-2"), (9.0, "store cut", 2, "busy")]),
        (["DRAIN"], [(8.0, "leave confirmed", 1, "i-2"), (9.0, "store cut", 1, "busy")]),
    ],
)
def test_a_run_too_late_after_a_leave_is_found_where_the_sender_was_in_touch(rules, happenings):
    assert find_rules(happen(make_rows(), *happenings)) == rules


@pytest.mark.parametrize(
    ("rules", "happening"),
    [
        (["FAULT"], (20.0, "node exits", 3, "7 1 by itself")),
        (["FAULT"], (20.0, "node exits", 3, "7 1 stopped")),
        (["FAULT"], (20.0, "node exits", 3, "7 -15 stopped")),
        (["GRACE"], (20.0, "grace is over", 3, "7")),
        ([], (2.0, "node exits", 3, "7 -15 stopped")),
        ([], (20.0, "node exits", 3, "7 0 stopped")),
        ([], (20.0, "node exits", 3, "7 -9 killed")),
    ],
)
def test_a_wrong_end_of_a_process_is_found(rules, happening):
    rows = happen(make_rows(), (1.5, "node starts", 3, "7"), happening)
    assert find_rules(rows) == rules


def test_the_same_seed_draws_the_same_plan():
    styles = len(client.STYLES)
    assert draw.draw_plan(3, 30.0, 8, styles) == draw.draw_plan(3, 30.0, 8, styles)
    assert draw.draw_plan(3, 30.0, 8, styles) != draw.draw_plan(4, 30.0, 8, styles)
