"""Requests of the soak that become whole late in a planned stop."""

import asyncio
import random
import signal
import types

import pytest

from soak.machines import draw, record, shape, steps_late


def list_steps():
    return [
        step
        for seed in range(60)
        for step in draw.draw_plan(seed, 60.0, 8, 8).steps
        if step.kind == "late"
    ]


# A fault in the last seconds of a stop is met only by luck.
@pytest.mark.parametrize("name", ["any", "repairs", "collection"])
def test_each_tenth_of_a_second_has_a_request_of_each_style_that_must_not_run_twice(name):
    of = shape.load(name)
    for seed in range(20):
        requests = steps_late.draw_requests(random.Random(seed), of)
        for style in steps_late.STYLES:
            moments = [int(late.at * 10 + 1e-6) for late in requests if late.style is style]
            assert moments == list(range(25, 60))
        assert any(not late.job.kind.safe for late in requests)
        for late in requests:
            assert late.begins() <= late.at
            assert late.style is not steps_late.BYTEWISE or late.begins() < 3.0
            assert late.style is not steps_late.PIECES or late.begins() + late.used_s < 2.0


def test_only_some_stops_have_a_second_sigterm_and_some_begin_the_next_process_beside_it():
    steps = list_steps()
    assert {len(step.values["also"]) for step in steps} == {0, 1}
    assert {name for step in steps for _, name in step.values["also"]} == {"SIGTERM"}
    assert {step.values["overlap"] is None for step in steps} == {True, False}


class Scene:
    """A fleet of one machine on which nothing is started; it notes the stops."""

    def __init__(self, outbound: str) -> None:
        self.rows, self.shape = record.Record(), shape.load("repairs")
        self.stopped: list[int] = []
        self._machine = types.SimpleNamespace(
            number=1, service="desk", outbound=outbound, replaces=False
        )

    def find_machine(self, number: int):
        return self._machine

    async def stop_several(self, number: int, values: dict) -> None:
        await asyncio.sleep(values["lead"])
        self.rows.happen(signal.SIGTERM.name, number, "7")
        self.stopped.append(number)


async def answer(reader, writer):
    """Answers each request on a connection as a node does that keeps it."""
    try:
        while head := await reader.readuntil(b"\r\n\r\n"):
            fields = dict(
                line.split(b": ", 1) for line in head.strip().split(b"\r\n")[1:] if b": " in line
            )
            await reader.readexactly(int(fields[b"Content-Length"]))
            writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


# A request that is to become whole at a moment of the stop is sent before it, or not at all.
def test_no_last_byte_goes_before_its_moment_and_kept_connections_were_in_use():
    async def run():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with server:
            host, port = server.sockets[0].getsockname()
            on = Scene(f"{host}:{port}")
            await steps_late.stop_late(on, 1, {"lead": 0.8, "late": 3})
            return on

    on = asyncio.run(run())
    (stop,) = on.rows.happenings
    begin = 0.8  # The record begins with the scene.
    late = [item for item in on.rows.attempts if item.by != "late first"]
    wanted = steps_late.draw_requests(random.Random(3), on.shape)
    assert on.stopped == [1]
    assert stop.at >= begin
    assert len(late) == len(wanted)
    for style in steps_late.STYLES:
        moments = sorted(each.at for each in wanted if each.style is style)
        sent = sorted(item.sent for item in late if item.by == style.name)
        assert all(at >= begin + moment - 0.001 for at, moment in zip(sent, moments, strict=True))
    assert all(item.reused for item in late if item.by == steps_late.PIECES.name)


def test_a_machine_that_is_being_stopped_is_left_alone():
    on = Scene("127.0.0.1:1")
    on.find_machine(1).replaces = True
    asyncio.run(steps_late.stop_late(on, 1, {"lead": 0.8, "late": 3}))
    assert on.stopped == []
    assert on.rows.attempts == []
