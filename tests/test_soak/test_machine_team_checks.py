"""Each check on teams finds a planted fault, and none where the rules excuse it."""

import pytest

from soak.machines import access, checks, record, wire

KEY, OTHER = "key-one", "key-two"
HELD = access.Access(
    {KEY: "city", OTHER: "haulier"}, {"city": access.Limit(), "haulier": access.Limit(4.0, 10)}
)
RESTART = [(9.0, "node starts", 1, "7")]
WORKS = ("store works again", 0, "")
OVERLAPPING = [(5.5, "store trouble", 0, "silent"), (6.0, "store trouble", 0, "loses")]
CUT = [(9.0, "store cut", 1, "silent"), (9.5, "store cut ends", 1, "")]
CUT_EARLIER = [(5.0, "store cut", 1, "busy"), (6.9, "store cut ends", 1, "")]
RESET = [(9.0, "connections reset", 1, "store")]
LEFT = [(0.2, "node starts", 3, "8"), (0.9, "SIGTERM", 3, "8")]
SILENCE = [(9.0, "store trouble", 0, "silent"), (9.5, *WORKS)]


def make_rows(*later, status=200, key=KEY, team="city", began=10.0, runs=1, passed=""):
    """Returns the record of one request; `later` are configurations after the first."""
    rows = record.Record()
    rows.configurations = [record.Configuration(0.0, 1, HELD)]
    for number, (at, held) in enumerate(later, 2):
        rows.configurations.append(record.Configuration(at, number, held))
    add_request(rows, "1a", key, team, began, runs=runs, status=status)
    for run in rows.runs:
        run.key = passed
    return rows


def add_request(rows, request_id, key, team, began, *, runs=1, status=200, took_s=0.2):
    """Adds a request from machine 1, and its runs on machine 2."""
    item = record.Attempt(
        request_id, "kept", 1, "alpha", "GET", "/s/5/8/length/0", wire.digest(b""), True,
        connected=began, began=began, sent=began, ended=began + 2 * took_s, status=status,
        end="answer", key=key,
    )  # fmt: skip
    item.whole = item.sealed = status == 200
    rows.attempts.append(item)
    for _ in range(runs):
        run = record.Run(
            request_id, "i-2", 2, began + took_s, "GET", item.path, item.digest, "alpha", "beta",
            "beta.test", ended=began + took_s, status=200, team=team,
        )  # fmt: skip
        rows.runs.append(run)


def happen(rows, happenings):
    rows.happenings += [record.Happening(*item) for item in happenings]
    return rows


def find_rules(rows):
    return [finding.rule for finding in checks.find_broken(rows)]


@pytest.mark.parametrize(
    ("rules", "seen"),
    [
        ([], {}),
        ([], {"key": "", "team": ""}),
        (["UNASKED"], {"team": "haulier"}),
        (["UNASKED"], {"team": ""}),
        (["UNASKED"], {"key": "", "team": "city"}),
        (["UNASKED"], {"passed": f"Bearer {KEY}"}),
        (["ROUTE"], {"key": "never-held"}),
    ],
)
def test_a_run_for_another_team_or_with_its_key_is_found(rules, seen):
    assert find_rules(make_rows(**seen)) == rules


@pytest.mark.parametrize("disturbance", [RESTART, SILENCE])
@pytest.mark.parametrize("team", ["haulier", ""])
def test_a_wrong_team_is_found_whoever_is_out_of_touch(team, disturbance):
    assert find_rules(happen(make_rows(team=team), disturbance)) == ["UNASKED"]


@pytest.mark.parametrize("change", [HELD.withdraw(KEY), HELD.hold(KEY, "haulier")])
@pytest.mark.parametrize(
    ("rules", "changed", "happenings"),
    [
        (["CONFIG"], 7.9, []),
        ([], 8.1, []),
        ([], 7.9, RESTART),
        ([], 7.9, SILENCE),
        ([], 7.9, CUT),
        ([], 5.0, CUT[:1]),
        (["CONFIG"], 7.9, [(at, what, 2, detail) for at, what, _, detail in CUT]),
        (["CONFIG"], 5.0, CUT_EARLIER),
        ([], 7.9, RESET),
        (["CONFIG"], 7.9, [(9.0, "connections reset", 2, "store")]),
        ([], 7.9, [(9.0, "clock step", 1, "+2 s")]),
        (["CONFIG"], 7.9, [(9.0, "clock step", 2, "+2 s")]),
        (["CONFIG"], 5.0, [(6.9, "connections reset", 1, "store")]),
        (["CONFIG"], 7.9, [(9.0, "SIGHUP", 1, "7")]),
        (["CONFIG"], 5.0, [(6.9, "node starts", 1, "7")]),
        (["CONFIG"], 7.9, [(9.0, "node starts", 2, "8")]),
        ([], 5.0, [(4.0, "node starts", 1, "7"), (5.5, "SIGKILL", 1, "7")]),
        ([], 7.9, [(9.0, "SIGSTOP", 1, "7")]),
        (["CONFIG"], 5.0, [*OVERLAPPING, (6.9, *WORKS)]),
        ([], 5.0, [*OVERLAPPING, (7.1, *WORKS)]),
        (["CONFIG"], 5.0, [*OVERLAPPING, (6.9, *WORKS), (9.0, *WORKS)]),
        (
            ["CONFIG"],
            5.0,
            [(4.0, "node starts", 1, "7"), (5.5, "SIGSTOP", 1, "7"), (5.9, "SIGCONT", 1, "7")],
        ),
    ],
)
def test_a_run_with_a_key_of_before_is_found(rules, changed, happenings, change):
    assert find_rules(happen(make_rows((changed, change)), happenings)) == rules


@pytest.mark.parametrize("status", [401, 403, 404])
@pytest.mark.parametrize(
    ("rules", "later", "happenings"),
    [
        (["CONFIG"], [], []),
        (["CONFIG"], [(3.0, HELD.withdraw(KEY)), (7.9, HELD)], []),
        ([], [(3.0, HELD.withdraw(KEY)), (8.1, HELD)], []),
        ([], [(8.1, HELD.withdraw(KEY))], []),
        ([], [(3.0, HELD.withdraw(KEY)), (7.9, HELD)], RESTART),
    ],
)
def test_a_refusal_of_a_key_that_is_held_is_found(rules, later, happenings, status):
    rows = make_rows(*later, status=status, runs=0)
    assert find_rules(happen(rows, happenings)) == rules


@pytest.mark.parametrize(("number", "rules"), [(10, []), (11, ["DENIED"] * 11)])
def test_more_than_ten_refusals_out_of_touch_are_found_for_a_key_that_was_always_held(
    number, rules
):
    rows = happen(make_rows(), RESTART)
    for index in range(number):
        add_request(rows, f"2{index}", KEY, "", 10.0, runs=0, status=401)
    assert find_rules(rows) == rules


# A window of 5 s allows (4 x 5 + 10) x 1.1 + 20 = 53 requests, with the lower limit 22 + 20.
@pytest.mark.parametrize(
    ("number", "took_s", "rules"), [(53, 0.2, []), (54, 0.2, ["QUOTA"]), (54, 3.0, [])]
)
def test_a_team_above_its_limit_is_found(number, took_s, rules):
    rows = make_rows()
    for index in range(number):
        began = 10.0 + 4.7 * index / number
        add_request(rows, f"2{index}", OTHER, "haulier", began, took_s=took_s)
    assert find_rules(rows) == rules


def test_a_team_without_a_limit_is_never_above_it():
    rows = make_rows()
    for index in range(500):
        add_request(rows, f"2{index}", KEY, "city", 10.0 + index / 110)
    assert find_rules(rows) == []


@pytest.mark.parametrize(
    ("rules", "lowered", "happenings"),
    [
        (["QUOTA"], 7.9, []),
        ([], 8.1, []),
        ([], 7.9, RESTART),
        ([], 7.9, [(9.0, "node starts", 3, "8")]),
        (["QUOTA"], 1.0, [(6.9, "node starts", 3, "8")]),
        ([], 1.0, LEFT),
        (["QUOTA"], 1.0, [*LEFT, (1.5, "machine leaves", 3, "")]),
        ([], 1.0, [*LEFT, (10.5, "machine leaves", 3, "")]),
    ],
)
def test_a_lower_limit_binds_once_all_machines_were_in_touch(rules, lowered, happenings):
    rows = make_rows((lowered, HELD.limit("haulier", access.Limit(2.0, 10))))
    for index in range(43):
        add_request(rows, f"2{index}", OTHER, "haulier", 10.0 + index / 10)
    assert find_rules(happen(rows, happenings)) == rules


def test_the_highest_limit_of_a_window_binds():
    rows = make_rows((3.0, HELD.limit("haulier", access.Limit(2.0, 10))), (14.0, HELD))
    for index in range(50):
        add_request(rows, f"2{index}", OTHER, "haulier", 10.0 + index / 11)
    assert find_rules(rows) == []


def test_a_process_that_ends_by_itself_counts_as_running():
    rows = happen(
        make_rows((7.9, HELD.withdraw(KEY))),
        [
            (4.0, "node starts", 1, "7"),
            (8.5, "node exits", 1, "7 1 by itself"),
            (8.8, "node starts", 1, "8"),
        ],
    )
    assert find_rules(rows) == ["FAULT", "CONFIG"]
