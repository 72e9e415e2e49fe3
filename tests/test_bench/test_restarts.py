"""The figures of the benchmark of restarts, from records."""

import json

import pytest

from bench import restarts
from soak.machines import record


def make_attempt(began, status, machine=1, by="kept", text=""):
    return record.Attempt(
        "id", by, machine, "alpha", "GET", "/s/1/1/length/0", "", True,
        began=began, status=status, text=text,
    )  # fmt: skip


def test_requests_count_in_the_second_after_the_start_in_which_they_began():
    attempts = [
        make_attempt(9.9, 200),
        make_attempt(10.0, 503, text="no-upstream\n"),
        make_attempt(10.9, 200),
        make_attempt(12.5, 200),
        make_attempt(12.6, 200, machine=2),
        make_attempt(12.7, 200, by="server i-1"),
        make_attempt(None, 0),
        make_attempt(10.0 + restarts.SHOWN_S, 200),
    ]
    seconds = restarts.count_seconds(attempts, 10.0, 1)
    assert [item.share for item in seconds[:3]] == [0.5, None, 1.0]
    assert seconds[0].refused == {"no-upstream": 1}
    assert sum(item.sent for item in seconds) == 3
    assert restarts.count_seconds(attempts, 10.0)[2].sent == 2


def test_starts_before_the_traffic_are_left_out():
    rows = record.Record()
    rows.happenings = [
        record.Happening(1.0, "node starts", 1),
        record.Happening(5.0, "traffic begins"),
        record.Happening(8.0, "node starts", 2),
    ]
    rows.attempts = [make_attempt(5.5, 200), make_attempt(7.1, 503)]
    assert [start.machine for start in restarts.find_starts(rows)] == [2]
    assert [item.share for item in restarts.count_fleet(rows)] == [1.0, None, 0.0]
    assert restarts.find_first_run(rows, rows.happenings[2]) is None


def test_delays_run_from_the_first_report_held_back_to_its_proof(tmp_path):
    events = [
        (10, restarts.HELD, ""),
        (11, restarts.PROBED, "status 503"),
        (12, restarts.PROVEN, ""),
        (13, "node.stopping", ""),
        (14, restarts.HELD, ""),
    ]
    log = tmp_path / "node-1.log"
    lines = [
        {"time": f"2026-01-01T00:00:{at}.500Z", "fields": {"event": kind, "cause": cause}}
        for at, kind, cause in events
    ]
    text = "".join(json.dumps(line, separators=(",", ":")) + "\n" for line in lines)
    cut = '{"time":"2026-01-01T00:00:09.5'  # By a kill.
    log.write_text(cut + text + "not JSON\n", encoding="utf-8")
    found = list(restarts.read_events(log))
    assert [kind for _, kind, _ in found] == [kind for _, kind, _ in events if "report" in kind]
    delays = restarts.find_delays(found, restarts.HELD, restarts.PROVEN)
    assert delays == [pytest.approx(2.0), None]
    assert restarts.find_delays(found, restarts.PROVEN, restarts.HELD) == [pytest.approx(2.0)]
