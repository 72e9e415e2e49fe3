"""The soak of machines tells apart the ends of requests that have no answer."""

import asyncio
import socket

import pytest

from soak.machines import ends, kernel, record, wire


def make_rows(*happenings, **seen):
    """Returns the record of one request from machine 1 that was reset without an answer."""
    rows = record.Record()
    item = record.Attempt(
        "1a", "kept", 1, "alpha", "POST", "/u/5/8/length/0", wire.digest(b""), False,
        connected=9.0, began=10.0, sent=10.1, ended=10.5, end="reset",
    )  # fmt: skip
    for name, value in seen.items():
        setattr(item, name, value)
    rows.attempts.append(item)
    rows.happenings += [record.Happening(*happening) for happening in happenings]
    return rows


KILL = (10.5, "SIGKILL", 1, "7")
STOP = (9.5, "SIGTERM", 1, "7")


@pytest.mark.parametrize(
    ("kind", "happenings", "seen"),
    [
        (ends.KILLED, [KILL], {"accepted": True}),
        (ends.KILLED_BACKLOG, [KILL], {}),
        (ends.OTHER, [(10.5, "SIGKILL", 2, "8")], {}),
        (ends.OTHER, [STOP, (10.5, "grace is over", 1, "7"), KILL], {"accepted": True}),
        (ends.NOT_WHOLE, [], {"sent": None}),
        (ends.LISTENER, [STOP], {"looked": 10.4}),
        (ends.OTHER, [STOP], {"looked": 10.05}),
        (ends.OTHER, [STOP], {"looked": 10.2}),
        (ends.OTHER, [STOP], {"looked": 10.4, "accepted": True}),
        (ends.OTHER, [(2.0, "SIGTERM", 1, "7")], {"looked": 10.4}),
        (ends.CROSSING, [], {"reused": True, "ended": 10.2}),
        (ends.OTHER, [], {"reused": True}),
        (ends.OTHER, [], {"reused": True, "ended": 10.2, "taken": 10.15}),
        (ends.OTHER, [], {"ended": 10.2}),
        (ends.BEHIND_LAST, [], {"ended": 10.2, "end": "closed", "alone": False}),
        (ends.OTHER, [], {"end": "closed", "alone": False}),
        (ends.OTHER, [], {"ended": 10.2, "end": "closed", "alone": False, "taken": 10.15}),
        (ends.DEADLINE, [KILL], {"end": "timeout"}),
        (ends.CALLER_ENDED, [], {"end": "gave up"}),
    ],
)
def test_ends_without_an_answer_are_told_apart(kind, happenings, seen):
    assert ends.count(make_rows(*happenings, **seen)) == {kind: 1}


def test_answers_are_not_counted():
    assert ends.count(make_rows(end="answer", status=200)) == {}


def test_the_kernel_tells_what_the_other_end_has_accepted_and_read():
    async def look():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            _, port = listener.getsockname()
            _, writer = await wire.connect(f"127.0.0.1:{port}")
            writer.write(b"request")
            await writer.drain()
            seen = [kernel.find_pending(writer)]
            accepted, _ = listener.accept()
            seen.append(kernel.find_pending(writer))
            accepted.recv(4)
            seen.append(kernel.find_pending(writer))
            accepted.recv(4)
            seen.append(kernel.find_pending(writer))
            accepted.close()
            seen.append(kernel.find_pending(writer))
            writer.close()
            return seen

    pending = kernel.Pending
    expected = [pending(False, 7), pending(True, 7), pending(True, 3), pending(True, 0), None]
    assert asyncio.run(look()) == expected
