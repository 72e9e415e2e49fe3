"""The ends of parts in the stop of a process."""

import time

import logbook

from bergamotridge import part_order

LIMIT_S = 60.0


# A stop ended at the first part that failed; the threads of those behind it kept the process, which
# answered callers until it was killed.
def test_parts_behind_one_whose_end_fails_are_ended():
    ended = []

    def fail(left_s):
        raise OSError("no such socket")

    ends = {"connections": fail, "loop": ended.append}
    now = time.monotonic()
    reported = []
    with logbook.TestHandler().applicationbound() as handler:
        held = part_order.end_all(
            ends, now, now + LIMIT_S, lambda name, *times: reported.append(name)
        )
    assert (held, ended, reported) == ("", [0.0], ["connections", "loop"])
    (line,) = handler.formatted_records
    assert "'connections' failed" in line
