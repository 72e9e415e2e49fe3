"""The HTTP server reuses connections, enforces its limits and lets calls finish when stopped."""

import asyncio
import concurrent.futures
import contextlib
import socket
import struct
import threading
import time

import logbook
import pytest

from bergamotridge import errors
from bergamotridge.util import http_client, http_connection, httpd, message, request_reader
from standins import processes
from tests import event_loop


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def start_server(handler, connections=8, **more) -> tuple[httpd.Server, str]:
    address = free_address()
    server = httpd.Server(
        address,
        handler,
        connections=connections,
        body_limit=100,
        name="test",
        refusal=message.Response(503),
        event_loop=event_loop.SHARED,
        **more,
    )
    server.start()
    return server, address


async def echo(request, _token):
    return message.Response(200, [], request.body)


send = event_loop.send


def post_request(body: bytes) -> message.Request:
    return message.Request(b"POST", b"/", [], body)


def test_each_concurrent_caller_gets_its_own_response():
    server, address = start_server(echo)
    pool = http_client.Pool(address, 1000)
    with concurrent.futures.ThreadPoolExecutor(8) as executor:
        bodies = [b"%d" % number for number in range(400)]
        responses = executor.map(lambda body: send(pool, post_request(body), 10).body, bodies)
        assert list(responses) == bodies
    event_loop.call(pool.close)
    server.stop(1)


def test_an_address_in_use_is_an_error_that_names_it():
    server, address = start_server(echo)
    with pytest.raises(errors.AddressInUseError, match=address):
        httpd.Server(
            address,
            echo,
            connections=1,
            body_limit=1,
            name="b",
            refusal=message.Response(503),
            event_loop=event_loop.SHARED,
        ).start()
    server.stop(0)


def test_a_too_large_body_is_refused():
    server, address = start_server(echo)
    assert send(http_client.Pool(address, 1000), post_request(b"x" * 101), 5).status == 413
    server.stop(0)


def test_a_connection_above_the_limit_is_refused():
    server, address = start_server(echo, connections=1)
    first = http_client.Pool(address, 1000)
    send(first, post_request(b"1"), 5)
    assert _send_and_read(address, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").startswith(
        b"HTTP/1.1 503 "
    )
    event_loop.call(first.close)
    server.stop(0)


def test_stop_lets_a_running_call_finish():
    entered, may_finish = threading.Event(), threading.Event()

    async def answer_slowly(given, _token):
        entered.set()
        await asyncio.to_thread(may_finish.wait, 30)
        return message.Response(200, [], given.body)

    server, address = start_server(answer_slowly)
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        running = executor.submit(send, http_client.Pool(address, 1000), post_request(b"1"), 30)
        entered.wait(30)
        stopping = executor.submit(server.stop, 30)
        may_finish.set()
        assert running.result(30).body == b"1"
        stopping.result(30)


# Calls that waited when the server stopped ended without an answer, though they had not run.
def test_a_call_that_waits_at_the_end_of_a_stop_gets_its_refusal():
    entered = threading.Event()

    async def wait_in_a_queue(_given, token):
        cancelled = asyncio.Event()
        token.on_cancel(cancelled.set)
        entered.set()
        await cancelled.wait()
        return message.Response(503, [(b"bergamotridge-verdict", b"not-run")])

    server, address = start_server(wait_in_a_queue)
    with socket.create_connection(httpd.split_address(address), timeout=30) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        assert entered.wait(30)
        server.stop(0.2)
        assert sock.recv(1000).startswith(b"HTTP/1.1 503 ")


def test_a_call_is_cancelled_when_its_caller_disconnects():
    cancelled = threading.Event()

    async def answer_slowly(_given, token):
        token.on_cancel(cancelled.set)
        await asyncio.to_thread(cancelled.wait, 30)
        return message.Response(200)

    server, address = start_server(answer_slowly)
    with socket.create_connection(httpd.split_address(address)) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    assert cancelled.wait(30)
    server.stop(1)


# Each call whose caller reset the connection was logged as an error with a traceback.
def test_a_response_to_a_caller_that_reset_its_connection_is_dropped_without_an_error():
    running, cancelled = threading.Event(), threading.Event()

    async def wait_for_cancellation(_request, token):
        running.set()
        while not token.cancelled:
            await asyncio.sleep(0.01)
        # The transport of a connection that was reset is closed in the next iterations.
        await asyncio.sleep(0.1)
        cancelled.set()
        return message.Response(200)

    server, address = start_server(wait_for_cancellation)
    with logbook.TestHandler().applicationbound() as log:
        connection = socket.create_connection(httpd.split_address(address))
        connection.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        assert running.wait(10)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        assert cancelled.wait(10)
        server.stop(1)
    assert log.formatted_records == []


def test_a_connection_with_an_incomplete_request_is_closed():
    server, address = start_server(echo, idle_s=0.05)
    with socket.create_connection(httpd.split_address(address), timeout=30) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nhost:")
        response = b"".join(iter(lambda: sock.recv(1000), b""))
        assert response.startswith(b"HTTP/1.1 408 ")
    server.stop(0)


# The time in which a client took a long answer was counted as time without use.
@pytest.mark.parametrize("looks", [[], [1], [1, 2]])
def test_a_connection_whose_client_still_takes_an_answer_is_not_idle(looks):
    size = 2_000_000

    async def answer_at_length(_request, _token):
        return message.Response(200, [], bytes(size))

    server, address = start_server(answer_at_length)
    now = event_loop.call(lambda: asyncio.get_running_loop().time())

    def count_after_idle(periods):
        """Lets so many limits of idle time pass, and returns how many connections are left."""
        event_loop.call(lambda: server.close_idle(now + periods * 2 * httpd.IDLE_S))
        return event_loop.call(lambda: len(server.connections))

    with contextlib.closing(socket.socket()) as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(httpd.split_address(address))
        client.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        received = len(client.recv(1000))
        while not server.connections.idle_count:  # Until the kernel has the rest of the answer.
            received += len(client.recv(1000))
        assert received < size
        for periods in looks:
            received += len(client.recv(65536))
            assert count_after_idle(periods) == 1
        while received < size:
            received += len(client.recv(65536))
        assert count_after_idle(len(looks) + 1) == 1
        assert count_after_idle(len(looks) + 2) == 0
    server.stop(0)


def test_a_connection_whose_answer_was_taken_at_once_is_idle_from_then_on():
    server, address = start_server(echo)
    now = event_loop.call(lambda: asyncio.get_running_loop().time())
    with contextlib.closing(socket.create_connection(httpd.split_address(address))) as client:
        client.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        client.recv(1000)
        processes.wait_until(lambda: server.connections.idle_count, "the answer is written")
        event_loop.call(lambda: server.close_idle(now + 2 * httpd.IDLE_S))
        assert client.recv(1000) == b""
    server.stop(0)


def _send_and_read(address: str, *pieces: bytes) -> bytes:
    """Sends bytes and returns all bytes received until the server closes the connection."""
    with socket.create_connection(httpd.split_address(address), timeout=30) as sock:
        for piece in pieces:
            sock.sendall(piece)
        return b"".join(iter(lambda: sock.recv(1000), b""))


BOUNDS = request_reader.RequestLimits(
    header_bytes=2000, body_bytes=100, header_timeout_s=0.2, idle_s=5.0, body_timeout_s=0.3
)
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /" + b"a" * 3000, 414),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"a" * 3000, 431),
        (b"GET / HTTP/1.1\r\nhost: a\r\n" + b"x: aaaaaaaaaa\r\n" * 300 + b"\r\n", 431),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        (b"GET / HTTP/1.0\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\nhost: a\r\n\r\n", 400),
        (b"GET /\r\n\r\n", 400),
        (b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", 405),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n" + b"a" * 101, 413),
        (b"GET / HTTP/1.1\r\nhost: a\r\n", 408),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\na", 408),
        (CHUNKED_HEAD + b"1;x=" + b"a" * 3000, 413),
        (CHUNKED_HEAD + b"0\r\n" + b"x: aaaaaaaaaa\r\n" * 300, 413),
    ],
)
def test_a_request_beyond_the_limits_is_refused_with_the_status_for_its_fault(sent, status):
    server, address = start_server(echo, bounds=lambda: BOUNDS)
    assert _send_and_read(address, sent).startswith(b"HTTP/1.1 %d " % status)
    server.stop(0)


# The body was forwarded in its coding, but without the field that names it.
@pytest.mark.parametrize(
    ("version", "coding"),
    [
        (b"1.1", b"gzip, chunked"),
        (b"1.1", b"gzip\r\ntransfer-encoding: chunked"),
        (b"1.0", b"chunked"),
    ],
)
def test_a_body_in_a_coding_that_is_not_undone_is_refused(version, coding):
    server, address = start_server(echo)
    head = b"POST / HTTP/%s\r\nhost: a\r\ntransfer-encoding: %s\r\n\r\n" % (version, coding)
    received = _send_and_read(address, head + b"1\r\na\r\n0\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 400 ")
    server.stop(0)


# A caller that sent its body one byte at a time kept its connection without end.
def test_a_body_of_single_bytes_is_refused_once_its_time_is_over():
    server, address = start_server(echo, bounds=lambda: BOUNDS)
    with socket.create_connection(httpd.split_address(address), timeout=30) as sock:
        sock.sendall(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99\r\n\r\n")
        sock.settimeout(0.05)
        received = b""
        while not received:
            sock.sendall(b"a")
            with contextlib.suppress(TimeoutError):
                received = sock.recv(1000)
        assert received.startswith(b"HTTP/1.1 408 ")
    server.stop(0)


# With a blank behind it, the field was ignored, and the client waited for the response.
@pytest.mark.parametrize("blanks", [b"", b" \t"])
def test_an_expect_header_is_answered_with_100_continue(blanks):
    server, address = start_server(echo)
    expect = b"expect: 100-continue" + blanks
    head = b"POST / HTTP/1.1\r\nhost: a\r\n" + expect + b"\r\ncontent-length: 2\r\n\r\n"
    with socket.create_connection(httpd.split_address(address), timeout=30) as sock:
        sock.sendall(head)
        assert sock.recv(1000) == http_connection.CONTINUE_RESPONSE
        sock.sendall(b"ab")
        assert sock.recv(1000).startswith(b"HTTP/1.1 200 ")
    server.stop(0)


# A request that offered an upgrade was handled without its body, and its connection was closed.
@pytest.mark.parametrize(
    "offer",
    [
        b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABkAAQ\r\n",
        b"UPGRADE: H2C\r\nConnection: keep-alive, uPGRADE\r\n",
        b"upgrade: websocket, h2c/1\r\nconnection: x\r\nconnection: upgrade\r\n",
    ],
)
@pytest.mark.parametrize("piece_size", [1, 7, 1000])
def test_an_offer_of_an_upgrade_changes_nothing_in_how_a_request_is_read(offer, piece_size):
    server, address = start_server(echo)
    offered = b"POST / HTTP/1.1\r\n" + offer + b"host: a\r\n"
    sent = offered + b"content-length: 2\r\n\r\nab"
    sent += offered + b"transfer-encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\n\r\n"
    sent += b"GET / HTTP/1.1\r\n" + offer + b"host: a\r\n\r\n"
    sent += b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 1\r\n\r\ne"
    pieces = [sent[i : i + piece_size] for i in range(0, len(sent), piece_size)]
    received = b"".join(
        message.encode_response(message.Response(200, [], body), keep_alive=body != b"e")
        for body in (b"ab", b"cd", b"", b"e")
    )
    assert _send_and_read(address, *pieces) == received
    server.stop(0)


# A client of HTTP/1.0, which knows no interim responses, was sent one before its response.
def test_an_expect_header_of_http_1_0_is_ignored():
    reader = request_reader.RequestReader(BOUNDS)
    reader.feed(b"POST / HTTP/1.0\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\n")
    assert reader.in_body
    assert not reader.expects_continue


# Fields behind a chunked body were handled as if they were in the head, a second Host too.
def test_a_field_behind_the_body_is_no_field_of_the_request():
    async def name_fields(request, _token):
        return message.Response(200, [], b",".join(name for name, _ in request.headers))

    server, address = start_server(name_fields)
    head = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n"
    received = _send_and_read(address, head + b"1\r\na\r\n0\r\nhost: b\r\nx-a: b\r\n\r\n")
    assert received.endswith(b"\r\n\r\nhost,connection,transfer-encoding")
    server.stop(0)


# Behind a request that ends its connection, further bytes were answered with a 400 of their own.
@pytest.mark.parametrize("pieces", [1, 2])
@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1\r\nconnection: close",
        b"HTTP/1.0",
        b"HTTP/1.0\r\nconnection: keep-alive\r\nconnection: close",
    ],
)
def test_what_follows_a_request_that_ends_its_connection_is_not_answered(start, pieces):
    server, address = start_server(echo)
    last = b"POST / " + start + b"\r\nhost: a\r\ncontent-length: 1\r\n\r\na"
    behind = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
    received = _send_and_read(address, *([last + behind] if pieces == 1 else [last, behind]))
    answer = message.Response(200, [], b"a")
    assert received == message.encode_response(answer, keep_alive=False)
    server.stop(0)


def test_the_oldest_incomplete_head_is_evicted_when_the_server_is_full():
    server, address = start_server(echo, connections=1, bounds=lambda: BOUNDS)
    with socket.create_connection(httpd.split_address(address), timeout=30) as slow:
        slow.sendall(b"GET / HTT")
        pool = http_client.Pool(address, 1000)
        statuses = []
        while not statuses or statuses[-1] == 503:
            statuses.append(send(pool, post_request(b"x"), 10).status)
        assert statuses[-1] == 200
        event_loop.call(pool.close)
    server.stop(0)


def is_served(pool):
    """Returns whether a call by a pool gets 200; a server that is full may close its connection."""
    try:
        return send(pool, post_request(b"x"), 5).status == 200
    except http_client.TransferError:
        return False


# Kept connections without a request filled the port, and each new caller was refused.
def test_kept_connections_give_way_to_new_callers_and_a_running_call_does_not():
    release, entered, causes = asyncio.Event(), threading.Event(), []

    async def wait(request, _token):
        if request.body == b"wait":
            entered.set()
            await release.wait()
        return message.Response(200, [], request.body)

    server, address = start_server(wait, connections=3, on_turned_away=causes.append)
    pools = [http_client.Pool(address, 1000) for _ in range(5)]
    with concurrent.futures.ThreadPoolExecutor(1) as executor, contextlib.ExitStack() as stack:
        stack.callback(event_loop.call, release.set)
        running = executor.submit(send, pools[0], post_request(b"wait"), 60)
        entered.wait(60)
        for _ in range(2):
            kept = socket.create_connection(httpd.split_address(address))
            stack.enter_context(kept)
        for pool in pools[1:]:
            processes.wait_until(lambda pool=pool: is_served(pool), "a new caller is served")
        event_loop.call(release.set)
        assert running.result().body == b"wait"
    assert causes.count("idle") >= 3
    for pool in pools:
        event_loop.call(pool.close)
    server.stop(0)


# A request was taken to arrive when it was handled, however long it had waited behind another.
def test_a_request_has_the_time_of_its_arrival():
    server, _address = start_server(echo)

    def receive(*pieces):
        connection = http_connection.Connection(server, asyncio.get_running_loop())
        times = []
        for piece in pieces:
            times.append(time.monotonic())
            connection.data_received(piece)
        return times, [request.received_at for request in connection._reader.requests]

    whole = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none"
    times, received_at = event_loop.call(lambda: receive(whole + whole, whole[:-1], whole[-1:]))
    assert times[0] <= received_at[0] == received_at[1] <= times[1]
    assert times[2] <= received_at[2]
    server.stop(0)
