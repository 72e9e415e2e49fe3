"""Answers without end take a bounded part of the memory, and none of that of other answers."""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest

from bergamotridge import errors, verdict
from bergamotridge.store import client
from bergamotridge.util import cancellation, http_client, message
from tests import event_loop

BODY_LIMIT = 4_194_304
ANSWERS_BYTES = 2_097_152
PIECE = bytes(65_536)
FLOODS = 24
SOUND_CALLS = 20
CLOSE_PAUSE_S = 0.1  # For the servers to see that their connections are closed.
HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: 4000000\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\n\r\n",
}
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def _piece(form):
    return b"10000\r\n" + PIECE + b"\r\n" if form == "chunked" else PIECE


async def _flood(form, reader, writer):
    with contextlib.suppress(ConnectionError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEADS[form])
        while not writer.is_closing():
            writer.write(_piece(form))
            await writer.drain()
            await asyncio.sleep(0)
    writer.close()


async def _answer(reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)


@contextlib.asynccontextmanager
async def serving(handle):
    async with await asyncio.start_server(handle, "127.0.0.1", 0) as server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


# Each answer was bounded, their sum was not: as many answers as an upstream has slots were kept.
@pytest.mark.parametrize("form", HEADS)
def test_answers_without_end_are_given_up_and_answers_from_elsewhere_arrive(form):
    pools = http_client.Pools(BODY_LIMIT, close_delimited=True, answers_bytes=ANSWERS_BYTES)
    held, failures = [], []
    request = message.Request(b"GET", b"/", [])

    async def send_to_flood(address):
        try:
            await pools.pool_for(address).send(request, 30.0)
        except http_client.TransferError as error:
            failures.append(error)

    async def run():
        async with (
            serving(lambda reader, writer: _flood(form, reader, writer)) as flood,
            serving(_answer) as sound,
        ):
            floods = [asyncio.ensure_future(send_to_flood(flood)) for _ in range(FLOODS)]
            for _ in range(SOUND_CALLS):
                response = await pools.pool_for(sound).send(request, 30.0)
                assert response.body == b"ok"
                held.append(pools.held_bytes)
            await asyncio.gather(*floods)
            held.append(pools.held_bytes)
            pools.close()
            await asyncio.sleep(CLOSE_PAUSE_S)

    event_loop.run(run())
    assert max(held) <= ANSWERS_BYTES and held[-1] == 0
    assert sum(error.memory_exceeded for error in failures) >= FLOODS // 2
    assert {error.verdict for error in failures} == {verdict.Verdict.MAY_HAVE_RUN}


LONG_BODY_BYTES = 1_048_576
LONG_BODY = bytes(LONG_BODY_BYTES)
KEPT_BYTES = 131_072  # Of the connection, its buffers and the server beside it.
ENDS = {
    "kept connection": (b"content-length: %d\r\n\r\n" % LONG_BODY_BYTES, 2 * LONG_BODY_BYTES),
    "too long": (b"content-length: %d\r\n\r\n" % (4 * LONG_BODY_BYTES), LONG_BODY_BYTES // 2),
    "cut off": (b"content-length: %d\r\n\r\n" % (2 * LONG_BODY_BYTES), 2 * LONG_BODY_BYTES),
}


# The body stayed with its connection, of no account, until the garbage collector found it, and on a
# kept connection until the next response.
@pytest.mark.parametrize("end", ENDS)
def test_no_connection_keeps_the_body_of_a_response_that_has_ended(end):
    head, body_limit = ENDS[end]
    request = message.Request(b"GET", b"/", [])

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            for piece in (b"HTTP/1.1 200 OK\r\n", head, LONG_BODY):
                writer.write(piece)
                await writer.drain()
            if end == "kept connection":
                await reader.read()
        writer.close()

    async def run():
        pools = http_client.Pools(body_limit)
        async with serving(answer) as address:
            before, _ = tracemalloc.get_traced_memory()
            with contextlib.suppress(http_client.TransferError):
                await pools.pool_for(address).send(request, 30.0)
            await asyncio.sleep(CLOSE_PAUSE_S)
            now, _ = tracemalloc.get_traced_memory()
            assert now - before < KEPT_BYTES
            pools.close()
            await asyncio.sleep(CLOSE_PAUSE_S)

    gc.disable()
    tracemalloc.start()
    try:
        event_loop.run(run())
    finally:
        tracemalloc.stop()
        gc.enable()


# Memory that is freed with a connection must not be that of a response that is about to be taken.
@pytest.mark.parametrize("head", [b"content-length: 2\r\n\r\n", b"connection: close\r\n\r\n"])
def test_a_response_that_is_complete_when_its_call_is_cancelled_is_not_emptied(head):
    request = message.Request(b"GET", b"/", [])

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"ok")
        writer.close()

    async def send_and_cancel(address, turns):
        token, running = cancellation.Token(), asyncio.get_running_loop()

        def cancel_after(left):
            token.cancel() if not left else running.call_soon(cancel_after, left - 1)

        pools = http_client.Pools(
            BODY_LIMIT, close_delimited=True, on_arrival=lambda: cancel_after(turns)
        )
        with contextlib.suppress(http_client.TransferError):
            response = await pools.pool_for(address).send(request, 30.0, token)
            assert response.body == b"ok"
        pools.close()

    async def run():
        async with serving(answer) as address:
            for turns in range(6):
                await send_and_cancel(address, turns)
            await asyncio.sleep(CLOSE_PAUSE_S)

    event_loop.run(run())


# A reply of the platform was kept whole, however long it was, until the time limit of the request.
@pytest.mark.parametrize("part", ["body", "head"])
def test_a_reply_of_the_platform_without_end_ends_the_request(part):
    sent = []

    async def flood(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEADS["until close"][: -2 if part == "head" else None])
            while not writer.is_closing():
                writer.write(b"x-more: 1\r\n" * 1000 if part == "head" else PIECE)
                await writer.drain()
                sent.append(1)
        writer.close()

    async def run():
        async with serving(flood) as address:
            transport = client.Transport(address, 30.0)
            await asyncio.to_thread(transport.perform, "GET", "/objects/configuration")

    with pytest.raises(errors.PlatformUnavailableError) as caught:
        event_loop.run(run())
    assert "timed out" not in str(caught.value).lower()
