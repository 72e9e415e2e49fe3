"""Resets from outside: only what was under way on a connection that was reset is excused."""

import asyncio
import random
import types

from soak.machines import client, network, record, server, server_faults, shape

OF = shape.load("repairs")
KIND = OF.kind("prices")


async def start():
    """Returns a record, and a server of `parts` on an address of its own without a node."""
    rows = record.Record()
    ip = f"{network.find(7)}.1"
    item = types.SimpleNamespace(ip=ip, number=1, zone="a", service="parts", outbound=f"{ip}:1")
    own = server.Server(rows, item, OF)
    await own.start()
    return rows, own, f"{ip}:{server.PORT}"


async def send(rows, address, work_ms):
    """Begins a request straight at the server; returns its task and its connection."""
    connection = client.Connection(rows, address, client.STYLES[0])
    assert await connection.open_up()
    job = client.Job(KIND, "parts", f"/ticket/{work_ms}/5/length/0")
    before = len(rows.runs)
    sending = asyncio.create_task(connection.exchange([job], "kept", 1, "parts"))
    while len(rows.runs) == before:
        await asyncio.sleep(0.01)
    return sending, connection


def test_a_client_whose_connection_is_reset_counts_as_torn_and_others_go_on():
    async def play():
        rows, own, address = await start()
        torn, connection = await send(rows, address, 200)
        whole, _ = await send(rows, address, 200)
        connection.tear()
        ends = [(await sending)[0].end for sending in (torn, whole)]
        own.end()
        return ends

    assert asyncio.run(play()) == ["torn", "answer"]


def test_only_the_runs_on_a_connection_that_its_server_reset_have_a_fault():
    async def play():
        rows, own, address = await start()
        sent = [(await send(rows, address, 200))[0] for _ in range(6)]
        own.reset_connections(random.Random(3), 0.5)
        ends = {(await sending)[0].id: (await sending)[0].end for sending in sent}
        own.end()
        return [(ends[run.id], run.fault) for run in rows.runs]

    seen = asyncio.run(play())
    assert set(seen) == {("answer", ""), ("reset", server_faults.RESET)}


def test_a_server_that_goes_dark_keeps_its_connections_open_and_says_nothing():
    async def play():
        rows, own, address = await start()
        sending, _ = await send(rows, address, 50)
        own.go_dark()
        late = client.Connection(rows, address, client.STYLES[0])
        assert await late.open_up()
        job = client.Job(KIND, "parts", "/ticket/5/5/length/0")
        asked = asyncio.create_task(late.exchange([job], "kept", 1, "parts"))
        done, _ = await asyncio.wait([sending, asked], timeout=0.3)
        assert not done
        own.end()
        return [(await each)[0].end for each in (sending, asked)], len(rows.runs)

    ends, runs = asyncio.run(play())
    assert set(ends) <= {"closed", "reset"}
    assert runs == 1
