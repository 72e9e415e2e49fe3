"""Events read from log files equal the events that the nodes emitted."""

import io
import json

import hypothesis
import pytest

from bergamotridge import errors, events, logs, settings
from bergamotridge.operators import explain, fleet, log_lines, timeline
from tests import odd_values


@pytest.fixture
def written_log(tmp_path):
    """Returns a log file of two hosts, with a prefix before each line, and the events in it."""
    stream, expected = io.StringIO(), []
    for host in ("h1", "h2"):
        node = settings.NodeSettings(host=host, failure_domain="a")
        handler = logs.setup(node, 17, stream)
        log = events.EventLog(host, 17, "a")
        log.add_listener(logs.EventWriter())
        expected.append(log.emit("attempt.failed", "r1", "deadline", target="h3", service="fees"))
        expected.append(
            log.emit(
                "call.late", "r2", "target", path="/x", ms=900, target_ms=500, target="h4", load=1.5
            )
        )
        handler.pop_application()
    path = tmp_path / "node.log"
    lines = [f"  0.1 host {line}\n" for line in stream.getvalue().splitlines()]
    path.write_text("".join(["not a line\n", "{}\n", *lines]))
    return str(path), sorted(expected, key=lambda event: event.stamp)


def test_logged_events_are_read_back_complete_and_in_order(written_log):
    path, expected = written_log
    assert list(log_lines.read_history([path, path]).events) == expected


def test_explain_of_one_request_from_logs(written_log):
    path, _ = written_log
    explanation = "\n".join(explain.format_lines("r2", log_lines.read_history([path], "r2")))
    assert "was answered after 900 ms, its target is 500 ms; host 'h4' answered" in explanation
    assert "h3" not in explanation


def test_error_names_a_missing_file():
    with pytest.raises(errors.UsageError, match="nowhere"):
        log_lines.read_history(["nowhere"])


# From a stamp all events of its millisecond were listed, and a text in its place was a stack trace.
def test_only_events_after_a_stamp_are_read(written_log):
    path, expected = written_log
    for number, event in enumerate(expected):
        read = log_lines.read_history([path], since=str(event.stamp)).events
        assert list(read) == expected[number + 1 :]
    first_ms = str(expected[0].stamp.millis)
    assert list(log_lines.read_history([path], since=first_ms).events) == expected


@pytest.mark.parametrize("since", ["yesterday", "1@", "1.x@h1"])
def test_a_malformed_time_is_a_usage_error(written_log, since):
    with pytest.raises(errors.UsageError, match="since"):
        log_lines.read_history([written_log[0]], since=since)


VALID_RECORD = {"host": "h1", "incarnation": 17, "failure_domain": "a"}
VALID_FIELDS = {
    "event": "attempt.failed",
    "stamp": "7.0@h1",
    "cause": "deadline",
    "request_id": "r1",
    "target": "h3",
}
LINES = odd_values.changed({**VALID_RECORD, "fields": VALID_FIELDS}) | odd_values.changed(
    VALID_FIELDS
).map(lambda text: json.dumps(VALID_RECORD)[:-1] + f',"fields":{text}}}')


def _line_with(field, text):
    event_fields = {name: json.dumps(value) for name, value in VALID_FIELDS.items()}
    event_text = odd_values.object_text({**event_fields, field: text})
    record = {name: json.dumps(value) for name, value in VALID_RECORD.items()}
    return odd_values.object_text({**record, "fields": event_text}).encode()


# A stamp that is a number, or a kind that is a list, ended the command with a traceback.
@odd_values.SETTINGS
@hypothesis.given(line=LINES.map(str.encode) | odd_values.BODIES)
@hypothesis.example(line=_line_with("stamp", "7"))
def test_whatever_a_line_holds_the_event_after_it_is_shown(tmp_path_factory, line):
    valid = json.dumps({**VALID_RECORD, "fields": {**VALID_FIELDS, "stamp": "9.0@h1"}}).encode()
    path = tmp_path_factory.getbasetemp() / "odd.log"
    path.write_bytes(line + b"\n" + valid + b"\n")
    history = log_lines.read_history([str(path)])
    assert "9.0@h1" in [str(event.stamp) for event in history.events]
    assert list(timeline.format_lines(history))
    assert list(explain.format_lines("r1", history))


# Hypothesis raises the limit of recursion, so this is a test of its own.
def test_a_line_with_a_value_of_a_thousand_levels_is_left_out(tmp_path):
    path = tmp_path / "odd.log"
    path.write_bytes(_line_with("target", odd_values.nested(1000)))
    history = log_lines.read_history([str(path)])
    assert list(timeline.format_lines(history)) == list(
        timeline.format_lines(fleet.History((), ()))
    )
