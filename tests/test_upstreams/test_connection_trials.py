"""Upstreams that accept fewer connections than the text allows: calls wait for those they do."""

import asyncio
import time

import attrs
import pytest

from bergamotridge import call, verdict
from bergamotridge.nodes import record
from bergamotridge.upstreams import (
    announcement,
    connection_trials,
    gate,
    live_calls,
    local_upstream,
)
from bergamotridge.util import cancellation, http_client, message
from tests import event_loop

SLOTS = 8
OK_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@attrs.define
class BoundedServer:
    """Holds requests until released, and resets connections beyond its bound."""

    bound: int
    refused: int = 0
    held: int = 0
    released: asyncio.Event = attrs.field(factory=asyncio.Event)
    _open: int = 0

    async def serve(self, reader, writer):
        if self._open >= self.bound:
            self.refused += 1
            writer.transport.abort()
            return
        self._open += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.held += 1
                await self.released.wait()
                writer.write(OK_RESPONSE)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self._open -= 1


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def start_upstream(server):
    """Returns a local upstream at the server, its gate and its connection pools."""
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    admission, pools = gate.Gate(SLOTS, SLOTS, SLOTS), http_client.Pools(1024)
    upstream = local_upstream.LocalUpstream(admission, live_calls.LiveCalls(), pools)
    told = announcement.Announcement(
        "depot", address, record.State.READY, 1, SLOTS, SLOTS, 0.0, cold_s=0.0
    )
    upstream.apply_announcement(told, time.monotonic())
    return upstream, admission, pools


async def replace(upstream, server):
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    told = attrs.evolve(upstream.announcement, address=address, incarnation=2)
    assert upstream.apply_announcement(told, time.monotonic())


def start_call(upstream):
    context = call.CallContext(
        "r", "t", call.Importance.CRITICAL, time.monotonic() + 60, 0, repeatable=False
    )
    request = message.Request(b"GET", b"/parts", [])
    return asyncio.create_task(upstream.run("depot", context, request, 0, cancellation.Token()))


# Each further call was sent on a connection that the upstream refused, so that it might have run.
@pytest.mark.parametrize("bound", [2, 0])
def test_calls_wait_for_the_connections_that_an_upstream_accepts(monkeypatch, bound):
    monkeypatch.setattr(connection_trials, "PAUSE_S", 0.01)

    async def run():
        server = BoundedServer(bound)
        upstream, admission, pools = await start_upstream(server)
        calls = [start_call(upstream) for _ in range(bound)]
        await wait_until(lambda: server.held == bound)
        refused = await start_call(upstream)
        calls += [start_call(upstream) for _ in range(3)]
        await wait_until(lambda: server.refused >= 3)  # One by a call, the others by trials.
        server.bound = SLOTS
        server.released.set()
        verdicts = {answered.verdict for answered in await asyncio.gather(*calls)}
        assert (refused.reason, verdicts) == ("upstream-failed", {verdict.Verdict.RUN})
        await wait_until(lambda: admission.report(time.monotonic()).limit == SLOTS)
        pools.close()

    event_loop.run(asyncio.wait_for(run(), 60))


def announce(upstream, state, sequence):
    told = attrs.evolve(upstream.announcement, state=state, sequence=sequence)
    assert upstream.apply_announcement(told, time.monotonic())


# Calls to an upstream that had been lost for a moment waited for ever for a bound of before.
def test_trials_go_on_once_an_upstream_that_was_lost_is_ready_again(monkeypatch):
    monkeypatch.setattr(connection_trials, "PAUSE_S", 0.01)

    async def run():
        server = BoundedServer(0)
        upstream, _, pools = await start_upstream(server)
        refused = await start_call(upstream)
        announce(upstream, record.State.LOST, 1)
        await asyncio.sleep(2 * connection_trials.SETTLE_S)
        server.bound = SLOTS
        server.released.set()
        announce(upstream, record.State.READY, 2)
        answered = await asyncio.wait_for(start_call(upstream), 5)
        assert (refused.reason, answered.verdict) == ("upstream-failed", verdict.Verdict.RUN)
        pools.close()

    event_loop.run(asyncio.wait_for(run(), 60))


# A trial that began among the refusals took connections for accepted that were refused during it.
def test_a_trial_counts_no_connection_that_was_refused_meanwhile(monkeypatch):
    monkeypatch.setattr(connection_trials, "PAUSE_S", 30.0)

    async def run():
        server = BoundedServer(2)
        upstream, admission, pools = await start_upstream(server)
        calls = [start_call(upstream) for _ in range(6)]
        await wait_until(lambda: server.held == 2 and server.refused >= 4)
        await asyncio.sleep(2 * connection_trials.SETTLE_S)
        assert admission.report(time.monotonic()).limit == 2
        server.released.set()
        await asyncio.gather(*calls)
        pools.close()

    event_loop.run(asyncio.wait_for(run(), 60))


# A call within the bound was cut off as the connections of a trial had taken its room.
def test_a_call_within_the_bound_waits_for_the_connections_of_a_trial(monkeypatch):
    monkeypatch.setattr(connection_trials, "PAUSE_S", 0.05)

    async def run():
        server = BoundedServer(2)
        upstream, _, pools = await start_upstream(server)
        pool = pools.pool_for(upstream.announcement.address)
        trial = asyncio.create_task(pool.try_connections(4, connection_trials.SETTLE_S))
        await wait_until(lambda: server.refused == 2)
        call_in_trial = start_call(upstream)
        server.released.set()
        assert (await call_in_trial).verdict is verdict.Verdict.RUN
        assert await trial == 2
        pools.close()

    event_loop.run(asyncio.wait_for(run(), 60))


# A trial at an upstream that was replaced meanwhile showed that the new one accepts more than it
# does: calls went on to be sent on connections that it refused.
@pytest.mark.parametrize("old_bound", [0, SLOTS])
def test_a_trial_of_an_earlier_upstream_says_nothing_of_the_bound_of_the_next(
    monkeypatch, old_bound
):
    monkeypatch.setattr(connection_trials, "PAUSE_S", 30.0)

    async def run():
        old, new = BoundedServer(0), BoundedServer(2)
        upstream, admission, pools = await start_upstream(old)
        await start_call(upstream)
        old.bound = old_bound
        await wait_until(lambda: upstream._trials._trial is not None)
        await replace(upstream, new)
        calls = [start_call(upstream) for _ in range(4)]
        await wait_until(lambda: new.held == 2 and new.refused >= 2)
        await wait_until(lambda: upstream._trials._trial is None)
        assert admission.report(time.monotonic()).limit == 2
        new.released.set()
        await asyncio.gather(*calls)
        pools.close()

    event_loop.run(asyncio.wait_for(run(), 60))
