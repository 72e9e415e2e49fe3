"""Reports of malformed entries: all are counted, few become events."""

from bergamotridge import events, malformed
from bergamotridge.operators import malformed_entries


def test_each_entry_becomes_an_event_once_in_a_window_and_all_are_counted():
    log, counted, now = events.EventLog("h", 1, "fd"), [], [0.0]
    reports = malformed_entries.MalformedEntries(log, counted.append, lambda: now[0])
    entry = malformed.MalformedEntry("nodes", "a.0", "'address' is 5")
    for _ in range(3):
        reports.report(entry)
    assert [(item.kind, item.cause, item.detail) for item in log.recent()] == [
        ("entry.malformed", "'address' is 5", {"source": "nodes", "name": "a.0"})
    ]
    now[0] += malformed_entries.WINDOW_S
    reports.report(entry)
    assert len(log.recent()) == 2
    assert counted == ["nodes"] * 4


def test_many_odd_entries_do_not_flood_the_log():
    log = events.EventLog("h", 1, "fd")
    reports = malformed_entries.MalformedEntries(log, lambda source: None, lambda: 0.0)
    for number in range(1000):
        reports.report(malformed.MalformedEntry("nodes", f"n{number}", "odd"))
    assert len(log.recent()) == malformed_entries.MAX_EVENTS_PER_WINDOW


def test_a_report_quotes_long_and_foreign_values_in_short():
    entry = malformed.MalformedEntry("nodes", "n" * 9999, ValueError("r" * 9999))
    assert len(entry.name) < 100
    assert len(entry.reason) == malformed.MAX_REASON_LENGTH
    assert malformed.MalformedEntry("nodes", [["x"] * 9999], "").name.startswith("[[")
