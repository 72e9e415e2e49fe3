"""The HTTP client accepts only complete responses, never resends and reports correct verdicts."""

import asyncio
import concurrent.futures
import contextlib
import socket
import threading

import pytest

from bergamotridge import verdict
from bergamotridge.util import cancellation, http_client, message
from tests import event_loop
from tests.test_util import test_httpd

OK_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
BODY_LIMIT = 1024


class ScriptedServer:
    """Answers the n-th request with the n-th entry; None closes the connection without answer."""

    def __init__(self, *responses: bytes | None) -> None:
        self.requests: list[bytes] = []
        self._responses = list(responses)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def _accept_connections(self) -> None:
        while self._responses:
            sock, _ = self._listener.accept()
            with sock:
                self._answer_requests(sock)

    def _answer_requests(self, sock: socket.socket) -> None:
        while self._responses:
            data = sock.recv(65536)
            if not data:
                return
            self.requests.append(data)
            response = self._responses.pop(0)
            if response is None:
                return
            sock.sendall(response)


def send_post(pool: http_client.Pool, **more):
    request = message.Request(b"POST", b"/pay", [], b"x")
    return event_loop.send(pool, request, more.pop("timeout_s", 5), **more)


def test_a_request_is_not_resent_when_its_reused_connection_was_closed():
    server = ScriptedServer(OK_RESPONSE, None, OK_RESPONSE)
    pool = http_client.Pool(server.address, BODY_LIMIT)
    assert send_post(pool).body == b"ok"
    with pytest.raises(http_client.TransferError) as caught:
        send_post(pool)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert len(server.requests) == 2


INVALID_STATUSES = (b"000", b"0", b"099", b"20", b"600", b"999", b"1000", b"-20", b"200X")


# A status above 599 was taken for that of an answer.
@pytest.mark.parametrize(
    "invalid_response",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nok",
        OK_RESPONSE.replace(b"1.1", b"2.0"),
        b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n" + b"x" * 2000,
        *(OK_RESPONSE.replace(b"200", status) for status in INVALID_STATUSES),
    ],
    ids=["cut", "chunk missing", "no length", "other version", "too large", *INVALID_STATUSES],
)
def test_an_incomplete_or_too_large_response_is_an_error(invalid_response):
    pool = http_client.Pool(ScriptedServer(invalid_response).address, BODY_LIMIT)
    with pytest.raises(http_client.TransferError) as caught:
        send_post(pool)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


# With two Connection fields, the fields that only the first one named were passed on.
def test_fields_that_any_connection_field_of_a_response_names_are_removed():
    named = b"connection: x-a\r\nconnection: x-b\r\nx-a: 1\r\nx-b: 2\r\nx-c: 3\r\n"
    start, _, rest = OK_RESPONSE.partition(b"\r\n")
    server = ScriptedServer(start + b"\r\n" + named + rest)
    response = send_post(http_client.Pool(server.address, BODY_LIMIT))
    assert response.headers == [(b"x-c", b"3")]


# The body was passed on in its coding, but without the field that names it, or without its end.
@pytest.mark.parametrize(
    ("version", "coding"),
    [
        (b"1.1", b"gzip, chunked"),
        (b"1.1", b"chunked\r\ntransfer-encoding: chunked"),
        (b"1.1", b"chunked, gzip"),
        (b"1.0", b"chunked"),
    ],
)
def test_a_response_in_a_coding_that_is_not_undone_is_an_error(version, coding):
    head = b"HTTP/%s 200 OK\r\ntransfer-encoding: %s\r\n\r\n" % (version, coding)
    server = ScriptedServer(head + b"2\r\nok\r\n0\r\n\r\n")
    with pytest.raises(http_client.TransferError, match="encoding is not supported") as caught:
        send_post(http_client.Pool(server.address, BODY_LIMIT))
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


# A blank behind a value was passed on with it, and an echoed id with one didn't match.
def test_blanks_around_a_value_are_no_part_of_it():
    start, _, rest = OK_RESPONSE.partition(b"\r\n")
    server = ScriptedServer(start + b"\r\nrequest-id: \t 7 \t \r\nx-a: \r\n" + rest)
    response = send_post(http_client.Pool(server.address, BODY_LIMIT))
    assert response.headers == [(b"request-id", b"7"), (b"x-a", b"")]


# A connection was kept after a response of HTTP/1.0 that ended it.
def test_a_connection_is_not_kept_after_a_response_that_closes_it():
    fields = b"\r\nconnection: close\r\nconnection: keep-alive\r\n"
    response = OK_RESPONSE.replace(b"1.1", b"1.0").replace(b"\r\n", fields, 1)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        pool = http_client.Pool(f"127.0.0.1:{listener.getsockname()[1]}", BODY_LIMIT)
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            transfer = executor.submit(send_post, pool)
            sock, _ = listener.accept()
            with sock:
                sock.recv(65536)
                sock.sendall(response)
                assert transfer.result(30).body == b"ok"
                sock.settimeout(5)
                with contextlib.suppress(ConnectionResetError):
                    assert sock.recv(1) == b""


# An interim response took the head of the final one for its body.
@pytest.mark.parametrize(
    ("status", "text"), [(104, "interim response has a length"), (99, "status is not valid")]
)
def test_an_interim_response_with_a_length_takes_nothing_of_the_final_one(status, text):
    interim = b"HTTP/1.1 %03d Interim\r\ncontent-length: %d\r\n\r\n" % (status, len(OK_RESPONSE))
    server = ScriptedServer(interim + OK_RESPONSE + OK_RESPONSE.replace(b"ok", b"no"))
    with pytest.raises(http_client.TransferError, match=text) as caught:
        send_post(http_client.Pool(server.address, BODY_LIMIT))
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


# Fields behind a chunked body were taken for fields of the head.
def test_a_field_behind_the_body_is_no_field_of_the_response():
    head = b"HTTP/1.1 200 OK\r\nx-a: b\r\ntransfer-encoding: chunked\r\n\r\n"
    body = b"2\r\nok\r\n0\r\nx-a: c\r\nconnection: x-a\r\nx-d: e\r\n\r\n"
    response = send_post(http_client.Pool(ScriptedServer(head + body).address, BODY_LIMIT))
    assert (response.headers, response.body) == ([(b"x-a", b"b")], b"ok")


# A server that switched protocols ended the call in an exception that nothing handled.
@pytest.mark.parametrize("fields", [b"", b"upgrade: h2c\r\nconnection: upgrade\r\n"])
@pytest.mark.parametrize("rest", [b"", OK_RESPONSE])
def test_a_switch_of_protocols_is_an_error(fields, rest):
    switch = b"HTTP/1.1 101 Switching Protocols\r\n" + fields + b"\r\n"
    pool = http_client.Pool(ScriptedServer(switch + rest).address, BODY_LIMIT)
    with pytest.raises(http_client.TransferError, match="switched") as caught:
        send_post(pool)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    pool = http_client.Pool(ScriptedServer(OK_RESPONSE + switch, OK_RESPONSE).address, BODY_LIMIT)
    assert [send_post(pool).body for _ in range(2)] == [b"ok", b"ok"]


def test_a_failed_connect_has_the_verdict_not_run():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    with pytest.raises(http_client.TransferError) as caught:
        send_post(http_client.Pool(address, BODY_LIMIT))
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


def test_an_excess_response_is_never_returned_for_the_next_request():
    server = ScriptedServer(OK_RESPONSE + OK_RESPONSE.replace(b"ok", b"no"), OK_RESPONSE)
    pool = http_client.Pool(server.address, BODY_LIMIT)
    assert send_post(pool).body == b"ok"
    assert send_post(pool).body == b"ok"


def test_a_cancelled_transfer_ends_at_once():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        pool = http_client.Pool(f"127.0.0.1:{listener.getsockname()[1]}", BODY_LIMIT)
        token = cancellation.Token()
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            transfer = executor.submit(send_post, pool, timeout_s=60, token=token)
            sock, _ = listener.accept()
            sock.recv(65536)
            event_loop.call(token.cancel)
            failure = transfer.exception(30)
        sock.close()
    assert isinstance(failure, http_client.TransferError)
    assert failure.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert not failure.timed_out


# A call that was cancelled before it was sent was reported as one whose time was over.
@pytest.mark.parametrize(("timeout_s", "timed_out"), [(5.0, False), (0.0, True)])
def test_a_call_cancelled_before_it_is_sent_has_not_timed_out(timeout_s, timed_out):
    token = cancellation.Token()
    token.cancel()
    with pytest.raises(http_client.TransferError) as caught:
        request = message.Request(b"GET", b"/", [])
        event_loop.send(http_client.Pool("127.0.0.1:1", 1024), request, timeout_s, token=token)
    assert caught.value.timed_out is timed_out
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


class PouringServer:
    """Answers a request with `start`, then with `piece` again and again until it is closed."""

    def __init__(self, start, piece, pause_s):
        self.closed = threading.Event()
        self._answer = start, piece, pause_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._pour, daemon=True).start()

    def _pour(self):
        start, piece, pause_s = self._answer
        connection, _ = self._listener.accept()
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(start)
            while True:
                connection.sendall(piece)
                self.closed.wait(pause_s)
        self.closed.set()


OK_LINE = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "fields": (OK_LINE, b"x: " + b"a" * 4000 + b"\r\n"),
    "one field": (OK_LINE + b"x: ", b"a" * 4000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "body": (OK_LINE + b"content-length: 999999999999\r\n\r\n", b"a" * 4000),
    "body without length": (OK_LINE + b"\r\n", b"a" * 4000),
    "chunks": (OK_LINE + b"transfer-encoding: chunked\r\n\r\n", b"a0\r\n" + b"a" * 160 + b"\r\n"),
    "chunk extension": (OK_LINE + b"transfer-encoding: chunked\r\n\r\n1;", b"a" * 4000),
    "trailers": (OK_LINE + b"transfer-encoding: chunked\r\n\r\n0\r\n", b"x: y\r\n" * 500),
    "no response": (b"", b"\x00\xff" * 2000),
}


# Bytes of a faulty upstream came without end, and were kept in memory until the call's deadline.
@pytest.mark.parametrize("name", ENDLESS)
def test_bytes_without_end_are_an_error_and_close_the_connection(name):
    server = PouringServer(*ENDLESS[name], pause_s=0.0)
    pool = http_client.Pool(server.address, BODY_LIMIT, 8192, close_delimited=True)
    with pytest.raises(http_client.TransferError) as caught:
        send_post(pool, timeout_s=60.0)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert not caught.value.timed_out
    assert server.closed.wait(30)


@pytest.mark.parametrize("name", ["one field", "body", "body without length"])
def test_single_bytes_without_end_are_an_error_at_the_time_limit(name):
    start, piece = ENDLESS[name]
    server = PouringServer(start, piece[:1], pause_s=0.02)
    pool = http_client.Pool(server.address, BODY_LIMIT, 8192, close_delimited=True)
    with pytest.raises(http_client.TransferError) as caught:
        send_post(pool, timeout_s=0.3)
    assert caught.value.timed_out
    assert server.closed.wait(30)


def test_chunks_of_one_byte_are_a_legal_body():
    chunked = OK_LINE + b"transfer-encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * BODY_LIMIT
    server = ScriptedServer(chunked + b"0\r\n\r\n")
    pool = http_client.Pool(server.address, BODY_LIMIT, 1024)
    assert send_post(pool).body == b"a" * BODY_LIMIT


# Timers may fire a moment early, so a call at its deadline counted as a failure of its host.
def test_a_transfer_that_ends_at_its_time_limit_has_timed_out():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        pool = http_client.Pool(f"127.0.0.1:{listener.getsockname()[1]}", BODY_LIMIT)
        for number in range(40):
            with pytest.raises(http_client.TransferError) as caught:
                send_post(pool, timeout_s=0.0105 + 0.0007 * number)
            assert caught.value.timed_out


# A time limit that passed while connecting was told as a host that can't be reached.
@pytest.mark.parametrize("timeout_s, timed_out", [(0.05, True), (30, False)])
def test_a_transfer_whose_time_limit_passes_while_connecting_has_timed_out(timeout_s, timed_out):
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        # Connections beyond the backlog are not accepted, nor refused.
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        pool = http_client.Pool(f"127.0.0.1:{listener.getsockname()[1]}", BODY_LIMIT)
        with pytest.raises(http_client.TransferError) as caught:
            send_post(pool, timeout_s=timeout_s)
    assert caught.value.timed_out == timed_out
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


def test_the_target_is_sent_without_normalization():
    server = ScriptedServer(OK_RESPONSE)
    pool = http_client.Pool(server.address, BODY_LIMIT)
    event_loop.send(pool, message.Request(b"GET", b"/prices/../pay?a=../b", []), 5)
    assert server.requests[0].startswith(b"GET /prices/../pay?a=../b HTTP/1.1\r\n")


def test_idle_connections_past_their_time_are_closed():
    server, address = test_httpd.start_server(test_httpd.echo)
    pool = http_client.Pool(address, 1000)
    post = message.Request(b"POST", b"/", [], b"x")
    event_loop.send(pool, post, 10)
    second_pool = http_client.Pool(address, 1000)
    event_loop.send(second_pool, post, 10)
    (expired,), (fresh,) = pool._idle, second_pool._idle
    pool._idle.append(fresh)
    expired.idle_until = 0.0
    event_loop.send(pool, post, 10)
    assert list(pool._idle) == [fresh] and expired.ended
    event_loop.call(pool.close)
    server.stop(0)


def test_framing_and_connection_fields_of_a_response_are_removed():
    response_bytes = (
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-hop, keep-alive\r\n"
        b"keep-alive: timeout=9\r\nx-hop: 1\r\nx-end: 2\r\n\r\nok"
    )
    response = send_post(http_client.Pool(ScriptedServer(response_bytes).address, BODY_LIMIT))
    assert response.headers == [(b"x-end", b"2")]


# So many digits raised an error in the parser, so a whole response counted as none.
@pytest.mark.parametrize("digits", [400, 5000])
def test_a_response_with_a_long_number_in_a_field_is_a_response(digits):
    timeout = b"9" * digits
    response_bytes = (
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=" + timeout + b"\r\n\r\nok"
    )
    server = ScriptedServer(response_bytes)
    assert send_post(http_client.Pool(server.address, BODY_LIMIT)).body == b"ok"


def test_a_connection_is_not_reused_after_a_response_to_a_partly_sent_request():
    early_response, checked = b"HTTP/1.1 413 X\r\ncontent-length: 0\r\n\r\n", threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def respond_early():
            sock, _ = listener.accept()
            sock.recv(1000)
            sock.sendall(early_response)
            checked.wait(30)
            sock.close()

        threading.Thread(target=respond_early, daemon=True).start()
        pool = http_client.Pool(address, BODY_LIMIT)
        large = message.Request(b"POST", b"/", [], b"x" * 50_000_000)
        assert event_loop.send(pool, large, 20).status == 413
        assert not pool._idle
        checked.set()


def test_a_request_for_an_already_closed_connection_has_the_verdict_not_run(monkeypatch):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def refuse_before_the_request():
            sock, _ = listener.accept()
            sock.sendall(b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n")
            sock.close()

        pool = http_client.Pool(address, BODY_LIMIT)

        async def connect_and_wait_for_close():
            connection = await pool._connect(asyncio.get_running_loop(), 5)
            while not connection.ended:
                await asyncio.sleep(0.001)
            return connection

        threading.Thread(target=refuse_before_the_request, daemon=True).start()
        ended = event_loop.run(connect_and_wait_for_close())

        async def return_ended(running_loop, timeout_s):
            return ended

        monkeypatch.setattr(http_client.Pool, "_connect", lambda self, *_: return_ended(*_))
        with pytest.raises(http_client.TransferError) as caught:
            send_post(pool)
        assert caught.value.verdict is verdict.Verdict.NOT_RUN


FULL_ANSWERS = [
    b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-seal: s\r\ncontent-length: 5\r\n\r\nwhole",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nresponse-seal: s\r\ncontent-length: 5\r\n\r\nwhole",
    b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\ncontent-length: 5\r\n\r\nwhole",
]


# An upstream stopped in the head of its answer and closed; the caller got a short, whole answer.
@pytest.mark.parametrize("answered", FULL_ANSWERS, ids=["length", "chunks", "100", "103"])
def test_an_answer_that_was_cut_anywhere_is_never_taken_for_a_whole_one(answered):
    for length in range(len(answered)):
        pool = http_client.Pool(
            ScriptedServer(answered[:length] or None).address, BODY_LIMIT, close_delimited=True
        )
        with pytest.raises(http_client.TransferError) as caught:
            send_post(pool)
        assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


# A port that is no number raised ValueError, which no caller expects: status 500, "may have run".
@pytest.mark.parametrize("port", ["99999", "-5", "0", str(10**30), "9" * 5000, "\u00b2", "x"])
def test_a_call_to_an_address_that_cannot_exist_fails_as_one_that_did_not_run(port):
    pool = http_client.Pool(f"127.0.0.1:{port}", BODY_LIMIT)
    with pytest.raises(http_client.TransferError) as caught:
        send_post(pool)
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


# A call to port 99,999 went to port 34,463 of that host.
def test_a_call_to_a_port_out_of_range_reaches_no_other_port():
    server = ScriptedServer(OK_RESPONSE)
    host, _, port = server.address.rpartition(":")
    with pytest.raises(http_client.TransferError):
        send_post(http_client.Pool(f"{host}:{int(port) + 65_536}", BODY_LIMIT))
    assert server.requests == []
