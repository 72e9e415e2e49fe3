"""Logs: each line is one JSON object with its origin."""

import io
import json

import logbook

from bergamotridge import events, logs, settings

NODE = settings.NodeSettings(host="h1", failure_domain="amsterdam", log_level="INFO")


def lines_of(write):
    stream = io.StringIO()
    handler = logs.setup(NODE, 17, stream)
    try:
        write()
    finally:
        handler.pop_application()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_carries_origin_message_and_fields():
    def write():
        logbook.Logger("area").info("listening on '{}'", "a\nb", extra={"port": 1})
        logbook.Logger("area").debug("not written")

    (line,) = lines_of(write)
    assert line.pop("time").endswith("Z")
    assert line == {
        "level": "INFO",
        "host": "h1",
        "incarnation": 17,
        "failure_domain": "amsterdam",
        "logger": "area",
        "message": "listening on 'a\nb'",
        "fields": {"port": 1},
    }


def test_events_are_logged_but_single_calls_only_for_debugging():
    def write():
        log = events.EventLog("h1", 17, "amsterdam")
        log.listen(logs.EventWriter())
        log.emit("upstream.lost", cause="silent", silent_s=1.5)
        log.emit("call.refused", "r1", "rate")

    (line,) = lines_of(write)
    assert line["message"] == "upstream.lost: silent"
    assert line["fields"]["silent_s"] == 1.5


def test_an_exception_stays_on_one_line():
    def write():
        try:
            raise KeyError("k")
        except KeyError:
            logbook.Logger("area").exception("failed")

    (line,) = lines_of(write)
    assert "KeyError" in line["exception"]
