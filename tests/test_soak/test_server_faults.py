"""Faults of servers in the soak of machines: what a caller gets, and what the checks make of it."""

import asyncio

import pytest

from soak.machines import draw, record, server_faults, wire
from tests.test_soak import test_machine_checks

BODY = b"0123456789"
START = "HTTP/1.1 200 OK"
WHOLE = wire.encode(START, {"Request-Id": "1a"}, BODY)


def read_answer(fault):
    """Returns all bytes that a caller gets of an answer with a fault, and how they ended."""

    async def serve(reader, writer):
        await server_faults.send(writer, fault, START, {"Request-Id": "1a"}, BODY)
        writer.close()

    async def read():
        async with await asyncio.start_server(serve, "127.0.0.1", 0) as listening:
            _, port = listening.sockets[0].getsockname()
            reader, writer = await wire.connect(f"127.0.0.1:{port}")
            got = b""
            try:
                while piece := await reader.read(wire.PIECE_BYTES):
                    got += piece
                return got, "closed"
            except ConnectionResetError:
                return got, "reset"
            finally:
                writer.close()

    return asyncio.run(read())


@pytest.mark.parametrize(
    ("fault", "expected", "end"),
    [
        (server_faults.EARLY, WHOLE, "closed"),
        (server_faults.TWICE, WHOLE + WHOLE, "closed"),
        (server_faults.CUT, WHOLE[:-5], "closed"),
        (server_faults.IDLE_CLOSE, WHOLE, "closed"),
    ],
)
def test_a_caller_gets_the_answer_with_its_fault(fault, expected, end):
    assert read_answer(fault) == (expected, end)


def test_an_answer_that_closes_says_so():
    got, end = read_answer(server_faults.CLOSE)
    assert (b"Connection: close\r\n" in got, got.endswith(BODY), end) == (True, True, "closed")


@pytest.mark.parametrize("fault", [server_faults.CUT_WITHOUT_LENGTH, server_faults.RESET])
def test_a_reset_on_the_way_is_seen_as_one(fault):
    got, end = read_answer(fault)
    assert end == "reset"
    assert got in (b"", WHOLE) or not got.endswith(BODY)


def test_the_share_of_a_fault_is_drawn_and_others_touch_no_answer():
    assert server_faults.Faults(server_faults.CUT, 1.0).draw() == server_faults.CUT
    assert server_faults.Faults(server_faults.CUT, 0.0).draw() == ""
    assert server_faults.Faults(server_faults.FEW_CONNECTIONS, 1.0).draw() == ""
    assert server_faults.Faults(server_faults.FEW_CONNECTIONS).limit(100) < 100
    assert server_faults.Faults().limit(100) == 100


def test_a_slow_server_works_longer_and_one_that_fails_spoils_no_bytes():
    slow = server_faults.Faults(server_faults.SLOW, 1.0)
    assert (slow.slow_down(1.0) > 1.0, slow.draw_failure(), slow.draw()) == (True, False, "")
    failing = server_faults.Faults(server_faults.FAILS, 1.0)
    assert (failing.slow_down(1.0), failing.draw_failure(), failing.draw()) == (1.0, True, "")


def test_a_fault_ends_after_its_time():
    faults = server_faults.Faults()
    asyncio.run(server_faults.put_in_force(faults, server_faults.CUT, 1.0, 0.0))
    assert faults.draw() == ""


def test_the_end_of_a_fault_leaves_a_later_one_in_force():
    faults = server_faults.Faults()

    async def disturb():
        first = asyncio.create_task(
            server_faults.put_in_force(faults, server_faults.CUT, 1.0, 0.001)
        )
        await asyncio.sleep(0)
        faults.kind = server_faults.TWICE
        await first

    asyncio.run(disturb())
    assert faults.draw() == server_faults.TWICE


@pytest.mark.parametrize(
    ("fault", "rules"),
    [(fault, [] if fault in server_faults.BREAK_OFF else ["LOST"]) for fault in server_faults.ALL],
)
def test_only_a_server_that_broke_off_excuses_a_request_that_ran(fault, rules):
    rows = test_machine_checks.make_rows(status=0, end="closed", fault=fault)
    assert test_machine_checks.find_rules(rows) == rules


def test_a_sound_run_after_one_that_broke_off_is_not_excused():
    rows = test_machine_checks.make_rows(status=0, end="closed", runs=2, safe=True)
    rows.runs[0].fault = server_faults.CUT
    assert test_machine_checks.find_rules(rows) == ["LOST"]


def test_a_cut_answer_that_looks_complete_is_found():
    rows = test_machine_checks.make_rows(whole=False, fault=server_faults.CUT_WITHOUT_LENGTH)
    assert test_machine_checks.find_rules(rows) == ["MIXED"]


def test_a_body_that_is_not_read_yet_breaks_no_rule_and_another_body_does():
    rows = test_machine_checks.make_rows(fault=server_faults.EARLY)
    rows.runs[0].digest = ""
    assert test_machine_checks.find_rules(rows) == []
    rows.runs[0].digest = wire.digest(b"other")
    assert test_machine_checks.find_rules(rows) == ["UNASKED"]


def test_bytes_that_are_no_request_are_found():
    rows = test_machine_checks.make_rows()
    rows.happenings.append(record.Happening(10.3, "server reads no request", 2, "ValueError()"))
    assert test_machine_checks.find_rules(rows) == ["UNASKED"]


def test_every_fault_is_drawn():
    steps = [
        step
        for seed in range(60)
        for step in draw.draw_plan(seed, 60.0, 8, 8).steps
        if step.kind == "server fault"
    ]
    assert {step.values["fault"] for step in steps} == set(server_faults.ALL)


def test_both_nodes_of_a_request_are_stopped_at_about_one_time_and_at_times_frozen():
    steps = [
        step
        for seed in range(20)
        for step in draw.draw_plan(seed, 60.0, 8, 8).steps
        if step.kind == "both"
    ]
    leads = [abs(step.values["asking"]["lead"] - step.values["asked"]["lead"]) for step in steps]
    assert max(leads) <= 0.5
    for side in ("asking", "asked"):
        signals = [name for step in steps for _, name in step.values[side]["also"]]
        assert signals.count("SIGSTOP") == signals.count("SIGCONT") > 0


def test_only_the_kinds_of_scenarios_that_are_named_are_drawn():
    plan = draw.draw_plan(1, 60.0, 8, 8, kinds=("both", "store"))
    assert {step.kind for step in plan.steps} == {"both", "store"}
