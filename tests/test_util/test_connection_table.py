"""Which connections stay open when more come than a server may have."""

import random

import attrs

from bergamotridge.util import connection_table

LIMIT = 50
SEEDS = 50
CALL_S = 0.2
PAUSE_S = 1.0


@attrs.define(eq=False)
class Connection:
    head_started_at: float | None = None
    has_arrived: bool = False
    reading_since: float | None = None


def test_room_is_made_by_the_longest_idle_then_the_oldest_head_then_not_at_all():
    table = connection_table.ConnectionTable(4)
    idle, running, heads = Connection(), Connection(), [Connection(2.0), Connection(1.0)]
    for connection in (idle, running, *heads):
        assert table.admit(connection, 0.0) == connection_table.Decision()
    for connection in (running, *heads):
        table.mark_busy(connection)
    new = [Connection() for _ in range(4)]
    decisions = [table.admit(item, 2.0) for item in new]
    assert [item.turned_away for item in decisions] == [idle, heads[1], heads[0], new[3]]
    assert len(table) == 4


# Clients that took their responses a byte at a time filled the port, and shut all others out.
def test_room_is_made_by_the_client_that_takes_its_response_for_longest():
    table = connection_table.ConnectionTable(3)
    readers = [Connection(reading_since=began_at) for began_at in (1.0, 0.0, 9.0)]
    for connection in readers:
        table.admit(connection, 0.0)
        table.mark_busy(connection)
    now = 2.0 + connection_table.MAX_READING_S
    new = [Connection() for _ in range(3)]
    decisions = [table.admit(item, now) for item in new]
    assert [item.turned_away for item in decisions] == [readers[1], readers[0], new[2]]


def test_a_connection_that_became_idle_just_now_stays_open():
    table = connection_table.ConnectionTable(1)
    first, second = Connection(), Connection()
    table.admit(first, 0.0)
    table.mark_busy(first)
    table.mark_idle(first, 10.0)
    assert table.admit(second, 10.0 + connection_table.MIN_IDLE_S / 2).turned_away is second
    assert table.admit(second, 10.0 + connection_table.MIN_IDLE_S).turned_away is first


# A request that had arrived on an idle connection, but wasn't read yet, was reset to make room.
def test_room_is_made_by_no_connection_on_which_a_request_has_arrived():
    table = connection_table.ConnectionTable(3)
    items = [Connection(has_arrived=True), Connection(), Connection(has_arrived=True)]
    for item in items:
        table.admit(item, 0.0)
    first, second = Connection(has_arrived=True), Connection()
    assert table.admit(first, 2.0).turned_away is items[1]
    assert table.admit(second, 2.0) == connection_table.Decision(
        second, connection_table.Cause.FULL
    )


# A request whose rest had arrived, but wasn't read yet, was reset to make room.
def test_room_is_made_by_no_head_of_which_more_has_arrived():
    table = connection_table.ConnectionTable(3)
    heads = [Connection(0.0, has_arrived=True), Connection(2.0), Connection(1.0, has_arrived=True)]
    for item in heads:
        table.admit(item, 0.0)
        table.mark_busy(item)
    first, second = Connection(has_arrived=True), Connection()
    assert table.admit(first, 3.0).turned_away is heads[1]
    assert table.admit(second, 3.0) == connection_table.Decision(
        second, connection_table.Cause.FULL
    )


# Connections that were kept without use shut all others out, those of the local upstream as well.
def test_many_kept_connections_shut_out_no_new_one_and_cut_no_call():
    for seed in range(SEEDS):
        rng, now = random.Random(seed), 100.0
        table, running, refused, admitted = connection_table.ConnectionTable(LIMIT), {}, 0, 0
        for _ in range(500):
            now += rng.uniform(0.0, 0.1)
            for connection, ends_at in list(running.items()):
                if now >= ends_at:
                    del running[connection]
                    table.mark_idle(connection, now)
            connection = Connection()
            decision = table.admit(connection, now)
            assert decision.turned_away not in running
            assert len(table) <= LIMIT
            if decision.turned_away is connection:
                refused += 1
                continue
            admitted += 1
            if rng.random() < 0.8:
                table.mark_busy(connection)
                running[connection] = now + rng.uniform(0.0, 2 * CALL_S)
        assert refused == 0 and admitted == 500


def test_a_server_whose_connections_all_run_calls_refuses_and_cuts_none():
    table = connection_table.ConnectionTable(LIMIT)
    running = [Connection() for _ in range(LIMIT)]
    for connection in running:
        table.admit(connection, 0.0)
        table.mark_busy(connection)
    new = Connection()
    decision = table.admit(new, 1000.0)
    assert decision == connection_table.Decision(new, connection_table.Cause.FULL)
    table.remove(running[0])
    assert table.admit(new, 1000.0).turned_away is None
