"""Connections of a pool whose event loop stands still for a while, and goes on."""

import asyncio
import socket
import time

import pytest

from bergamotridge.util import connecting, http_client
from tests import event_loop

SETTLE_S = 0.2


@pytest.fixture(name="listener")
def create_listener():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


def create_pool(listener):
    return http_client.Pool("{}:{}".format(*listener.getsockname()), 1000)


# A trial took connections for accepted whose ends had arrived, but weren't read.
def test_a_trial_counts_no_connection_whose_end_waits_to_be_read(listener):
    pool = create_pool(listener)

    async def run():
        trial = asyncio.create_task(pool.try_connections(1, SETTLE_S))
        loop = asyncio.get_running_loop()
        accepted, _ = await loop.run_in_executor(None, listener.accept)
        wake, waking = socket.socketpair()

        def stand_still():
            loop.remove_reader(wake)
            accepted.close()
            time.sleep(SETTLE_S)

        with wake, waking:
            await asyncio.sleep(SETTLE_S / 4)
            # The loop calls this among what it reads; it reads nothing more before its timers.
            loop.add_reader(wake, stand_still)
            waking.send(b"x")
            return await trial

    assert event_loop.run(run()) == 0


# Calls were refused as no connection had opened in time, though all had before the loop went on.
@pytest.mark.parametrize("turns", range(4))
def test_a_connection_that_opened_while_the_loop_stood_still_is_used(listener, turns):
    pool = create_pool(listener)

    async def run():
        opening = asyncio.create_task(pool.try_connections(1, 0.0))
        for _ in range(turns):
            await asyncio.sleep(0)
        time.sleep(connecting.CONNECT_TIMEOUT_S + 0.1)
        return await opening

    assert event_loop.run(run()) == 1
    event_loop.call(pool.close)
