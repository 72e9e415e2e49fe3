"""The crash of an upstream is told from connections that are cut and from planned stops."""

import asyncio

import attrs
import pytest

from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement, crash_detector
from tests import event_loop

READY = announcement.Announcement("depot", "127.0.0.1:1", record.State.READY, 1, 8, 8, 0.0)


@attrs.define
class Probes:
    """Answers of the address of an upstream, in order; the last one is repeated."""

    answers: list[bool]
    count: int = 0

    async def listening(self, address):
        self.count += 1
        return self.answers[min(self.count, len(self.answers)) - 1]


def lost_call(number):
    return crash_detector.LostCall(f"r{number}", "team", "GET", "", f"/parts/{number}", number)


def investigate(probes, calls, current=READY):
    """Returns the verdict on each call, and the crashes that were reported."""
    reported = []

    async def report(crash):
        reported.append(crash)

    async def lose_all():
        detector = crash_detector.CrashDetector(report, probes.listening)
        return await asyncio.gather(*(detector.has_crashed(current, item) for item in calls))

    return event_loop.run(lose_all()), reported


def test_all_calls_that_ran_at_an_upstream_that_crashed_are_reported_once():
    probes = Probes([False])
    calls = [lost_call(number) for number in range(5)]
    verdicts, reported = investigate(probes, calls)
    assert verdicts == [True] * 5
    assert [crash.calls for crash in reported] == [calls]
    assert probes.count == 1


def test_a_process_that_takes_connections_for_a_moment_while_it_ends_has_crashed():
    verdicts, _ = investigate(Probes([True, False]), [lost_call(1)])
    assert verdicts == [True]


def test_connections_that_are_cut_while_the_upstream_goes_on_are_no_crash():
    verdicts, reported = investigate(Probes([True]), [lost_call(1), lost_call(2)])
    assert (verdicts, reported) == ([False, False], [])


@pytest.mark.parametrize(
    "leaving", [{"state": record.State.DRAINING}, {"last": True}], ids=["draining", "deregistered"]
)
def test_the_planned_stop_of_an_upstream_is_no_crash(leaving):
    probes = Probes([False])
    current = attrs.evolve(READY, **leaving)
    verdicts, reported = investigate(probes, [lost_call(1)], current)
    assert (verdicts, reported, probes.count) == ([False], [], 0)


def test_a_call_that_is_lost_later_is_reported_for_the_same_crash():
    reported = []

    async def report(crash):
        reported.append(crash)

    async def lose_two():
        detector = crash_detector.CrashDetector(report, Probes([False]).listening)
        assert await detector.has_crashed(READY, lost_call(1))
        assert await detector.has_crashed(READY, lost_call(2))

    event_loop.run(lose_two())
    assert [crash.calls for crash in reported] == [[lost_call(1)], [lost_call(2)]]
    assert reported[0].upstream == reported[1].upstream


@attrs.define
class Clock:
    now: float = 0.0

    def __call__(self):
        return self.now


# An upstream crashed under a call on which the node had closed the connection; nothing counted it.
@pytest.mark.parametrize(
    ("upstream", "age_s", "reported"),
    [
        (READY.upstream_id, 1.0, [lost_call(1)]),
        (READY.upstream_id, 2 * crash_detector.ABANDONED_S, []),
        (attrs.evolve(READY, incarnation=2).upstream_id, 1.0, []),
    ],
    ids=["now", "long-ago", "other-start"],
)
def test_a_call_that_was_abandoned_before_the_crash_is_reported_with_it(upstream, age_s, reported):
    crashes, clock = [], Clock()

    async def report(crash):
        crashes.append(crash)

    async def refuse():
        detector = crash_detector.CrashDetector(report, Probes([False]).listening, clock)
        detector.record_abandoned(upstream, lost_call(1))
        clock.now = age_s
        assert await detector.has_crashed(READY, None)

    event_loop.run(refuse())
    assert [crash.calls for crash in crashes] == [reported]


def test_a_refused_connection_shows_that_nothing_listens():
    async def probe():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        before = await crash_detector.is_listening(address)
        server.close()
        await server.wait_closed()
        return before, await crash_detector.is_listening(address)

    assert event_loop.run(probe()) == (True, False)
