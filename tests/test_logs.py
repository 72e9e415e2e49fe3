"""Logs: each line is one JSON object with its origin, and lines on calls are sampled."""

import io
import json
import os

import logbook
import pytest

from bergamotridge import events, logs, settings
from bergamotridge.util import line_queue

NODE = settings.NodeSettings(host="h1", failure_domain="amsterdam", log_level="INFO")


def logged_lines(write):
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

    (line,) = logged_lines(write)
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


def test_events_are_logged_and_call_events_carry_the_request_id():
    def write():
        log = events.EventLog("h1", 17, "amsterdam")
        log.add_listener(logs.EventWriter())
        log.emit("upstream.lost", cause="silent", silent_s=1.5)
        log.emit("call.refused", "r1", "rate")

    lost, refused = logged_lines(write)
    assert lost["message"] == "upstream.lost: silent"
    assert lost["fields"]["silent_s"] == 1.5
    assert (refused["fields"]["event"], refused["fields"]["request_id"]) == ("call.refused", "r1")


def test_lines_on_calls_are_bounded_and_omitted_lines_are_counted():
    sampler, other_sampler = logs.CallSampler(), logs.CallSampler()
    ids = [f"r{number}" for number in range(20_000)]
    logged_ids = [
        request_id for at, request_id in enumerate(ids) if sampler.should_log(request_id, at / 2000)
    ]
    assert 0 < len(logged_ids) <= logs.CALL_LINES_BURST + 10 * logs.CALL_LINES_PER_S
    assert len(logged_ids) + sampler.left_out == len(ids)
    assert logged_ids == [
        item for at, item in enumerate(ids) if other_sampler.should_log(item, at / 2000)
    ]
    assert sampler.should_log("r1", 100.0)


def test_writers_do_not_block_when_output_is_not_read():
    reading, writing = os.pipe()
    lines = line_queue.LineQueue(writing, size=100)
    lines.start()
    for number in range(100_000):
        lines.write(f"{number}\n")
    assert lines.dropped_count > 0
    os.close(reading)
    lines.stop()


def test_stop_writes_all_queued_lines():
    reading, writing = os.pipe()
    lines = line_queue.LineQueue(writing)
    lines.start()
    for number in range(100):
        lines.write(f"{number}\n")
    lines.stop()
    assert os.read(reading, 65536).split()[-1] == b"99"


# The last line of a process must not keep it, whatever became of its output.
@pytest.mark.parametrize(("end", "is_written"), [("read", True), ("full", False), ("shut", False)])
def test_the_last_line_is_left_out_if_it_would_have_to_wait(end, is_written):
    reading, writing = os.pipe()
    lines = line_queue.LineQueue(writing)
    lines.start()
    lines.stop()
    if end == "full":
        os.set_blocking(writing, False)
        while _fill(writing):
            pass
    if end == "shut":
        os.close(reading)
    assert lines.write_last("last\n") is is_written
    assert not is_written or os.read(reading, 100) == b"last\n"


# A process on a full disk ended its planned stop with a traceback and status 1.
def test_the_last_line_is_left_out_if_the_disk_is_full():
    with open("/dev/full", "wb") as output:
        lines = line_queue.LineQueue(output.fileno())
        lines.start()
        lines.stop()
        assert not lines.write_last("last\n")


def _fill(descriptor):
    try:
        return os.write(descriptor, bytes(4096))
    except BlockingIOError:
        return 0


def test_an_exception_stays_on_one_line():
    def write():
        try:
            raise KeyError("k")
        except KeyError:
            logbook.Logger("area").exception("failed")

    (line,) = logged_lines(write)
    assert "KeyError" in line["exception"]
