"""A planned stop of the HTTP server answers each request that it has read."""

import asyncio
import concurrent.futures
import contextlib
import signal
import socket
import subprocess
import sys
import threading
import time

import logbook
import pytest

from bergamotridge.util import (
    http_connection,
    httpd,
    message,
    request_reader,
    response_writer,
)
from standins import processes
from tests import event_loop
from tests.test_util.test_httpd import start_server

STOP_S = 30
PAUSE_S = 0.001
LONG_BODY = bytes(8_000_000)
FIRST = b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none"
SECOND = b"POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\ntwo"


class SlowServer:
    """A server whose handler echoes the body once `may_finish` is set."""

    def __init__(self, **options):
        self.entered, self.may_finish = threading.Event(), threading.Event()
        self.handled = []
        self.server, self.address = start_server(self._echo, **options)

    async def _echo(self, request, token):
        self.handled.append(request.body)
        self.entered.set()
        while not (self.may_finish.is_set() or token.cancelled):
            await asyncio.sleep(PAUSE_S)
        status = 503 if token.cancelled else 200
        return message.Response(status, [], request.body)


def connect(address):
    host, port = address.split(":")
    return contextlib.closing(socket.create_connection((host, int(port)), timeout=STOP_S))


def read_all(client):
    """Returns what the server sends until it closes the connection."""
    pieces = []
    while piece := client.recv(65536):
        pieces.append(piece)
    return b"".join(pieces)


def split(answers):
    """Returns status and body of each answer."""
    parts = (item.partition(b"\r\n\r\n") for item in answers.split(b"HTTP/1.1 ")[1:])
    return [(int(head[:3]), body) for head, _, body in parts]


def wait_until_read(server, count=1):
    """Waits until the server has read `count` connections' requests, or parts of them."""
    processes.wait_until(
        lambda: sum(item._reader.has_input for item in server.connections) >= count,
        "requests are read",
    )


# Requests behind another one on a connection ended without an answer in a planned stop.
def test_requests_read_behind_another_one_are_answered_in_a_stop():
    slow = SlowServer()
    with connect(slow.address) as client, concurrent.futures.ThreadPoolExecutor(1) as executor:
        client.sendall(FIRST + SECOND)
        slow.entered.wait(STOP_S)
        wait_until_read(slow.server)
        stopping = executor.submit(slow.server.stop, STOP_S)
        processes.wait_until(lambda: slow.server.closing, "the server stops")
        slow.may_finish.set()
        answers = read_all(client)
        stopping.result(STOP_S)
    assert split(answers) == [(200, b"one"), (200, b"two")]
    assert b"connection: close" not in answers.partition(b"one")[0].lower()
    assert b"connection: close" in answers.partition(b"one")[2].lower()


# A request that the server had not read yet when it answered the one before was dropped in a stop.
def test_a_request_that_arrives_before_the_answer_to_the_last_one_is_answered_in_a_stop():
    handled = []

    async def send_another_first(request, _token):
        handled.append(request.body)
        if len(handled) == 1:
            client.sendall(SECOND)
        return message.Response(200, [], request.body)

    server, address = start_server(send_another_first)
    server.close_after_answers()
    with connect(address) as client:
        client.sendall(FIRST)
        assert split(read_all(client)) == [(200, b"one"), (200, b"two")]
    server.stop(0)


# At the end of its time a stop cut off what waited behind the call that it cancelled.
def test_requests_read_behind_a_cancelled_one_are_refused_at_the_end_of_a_stop():
    slow = SlowServer()
    with connect(slow.address) as client:
        client.sendall(FIRST + SECOND)
        slow.entered.wait(STOP_S)
        wait_until_read(slow.server)
        slow.server.stop(0.2)
        assert split(read_all(client)) == [(503, b"one"), (503, b"two")]


# Connections that had not been accepted when the listener closed were reset, with their requests.
def test_connections_that_wait_to_be_accepted_are_answered_in_a_stop():
    slow, may_run = SlowServer(), threading.Event()
    slow.may_finish.set()
    with contextlib.ExitStack() as stack:
        executor = stack.enter_context(concurrent.futures.ThreadPoolExecutor(2))
        stack.callback(may_run.set)
        executor.submit(event_loop.call, may_run.wait)
        clients = [stack.enter_context(connect(slow.address)) for _ in range(8)]
        for client in clients:
            client.sendall(FIRST)
        stopping = executor.submit(slow.server.stop, STOP_S)
        processes.wait_until(stopping.running, "the stop is asked for")
        time.sleep(httpd.STOP_CHECK_INTERVAL_S)
        may_run.set()
        assert [split(read_all(client)) for client in clients] == [[(200, b"one")]] * 8
        stopping.result(STOP_S)


# Connections that came in the turn of the loop before the listener closed were reset.
def test_connections_that_come_just_before_the_listener_closes_are_answered_in_a_stop():
    slow, is_held, may_close = SlowServer(), threading.Event(), threading.Event()
    slow.may_finish.set()

    def hold_up():
        is_held.set()
        may_close.wait()

    async def stop():
        loop = asyncio.get_running_loop()
        # Both the end of the wait before the close and what holds up are due after this pause.
        loop.call_later(httpd.STOP_CHECK_INTERVAL_S / 2, hold_up)
        loop.call_soon(time.sleep, 2 * httpd.STOP_CHECK_INTERVAL_S)
        await slow.server.end(STOP_S)

    with contextlib.ExitStack() as stack:
        executor = stack.enter_context(concurrent.futures.ThreadPoolExecutor(1))
        stack.callback(may_close.set)
        stopping = executor.submit(event_loop.run, stop())
        is_held.wait()
        clients = [stack.enter_context(connect(slow.address)) for _ in range(8)]
        for client in clients:
            client.sendall(FIRST)
        may_close.set()
        assert [split(read_all(client)) for client in clients] == [[(200, b"one")]] * 8
        stopping.result(STOP_S)


# The last response was cut off if the client took it slowly and had sent its next request.
def test_a_large_response_that_ends_its_connection_is_read_whole_whatever_follows_it():
    body = bytes(8_000_000)

    async def answer_at_length(_request, _token):
        return message.Response(200, [], body)

    server, address = start_server(answer_at_length)
    server.close_after_answers()
    with connect(address) as client:
        client.sendall(FIRST)
        received = client.recv(1000)
        client.sendall(SECOND)
        received += read_all(client)
    assert split(received) == [(200, body)]
    server.stop(0)


async def answer_at_length(_request, _token):
    return message.Response(200, [], LONG_BODY)


def take_until_written(server, client):
    """Sends a request and takes its response until the kernel has the rest of it."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 500_000)
    client.sendall(FIRST)
    received = client.recv(1000)
    while not server.connections.idle_count:
        received += client.recv(1000)
    return received


def take_slowly(client):
    """Takes a part of a response, sends a request after the time to linger, and takes the rest."""
    received = client.recv(1000)
    time.sleep(3 * response_writer.LINGER_S)
    client.sendall(SECOND)
    return received + read_all(client)


# A response was cut off by the next request of a client that still took it after a second.
def test_a_response_that_is_taken_for_longer_than_a_connection_lingers_is_whole(monkeypatch):
    monkeypatch.setattr(response_writer, "LINGER_S", 0.2)
    server, address = start_server(answer_at_length)
    server.close_after_answers()
    with connect(address) as client:
        received = take_until_written(server, client)
        assert split(received + take_slowly(client)) == [(200, LONG_BODY)]
    server.stop(0)


# A stop ended while clients still took their responses, and their next requests cut these off.
@pytest.mark.parametrize("is_written", [False, True])
def test_responses_that_are_being_taken_in_a_stop_are_whole(monkeypatch, is_written):
    monkeypatch.setattr(response_writer, "LINGER_S", 0.2)
    server, address = start_server(answer_at_length)
    with connect(address) as client, concurrent.futures.ThreadPoolExecutor(1) as executor:
        if is_written:
            received = take_until_written(server, client)
        else:
            client.sendall(FIRST)
            received = client.recv(1000)
        stopping = executor.submit(server.stop, STOP_S)
        processes.wait_until(lambda: server.closing, "the server stops")
        time.sleep(3 * httpd.STOP_IDLE_S)
        received += take_slowly(client)
        stopping.result(STOP_S)
    assert split(received) == [(200, LONG_BODY)] * 2


# Bytes that could not be read, behind a call, kept the end of a stop from cancelling that call.
def test_a_call_with_input_behind_it_that_was_refused_is_answered_at_the_end_of_a_stop():
    slow = SlowServer()
    with connect(slow.address) as client:
        client.sendall(FIRST + b"\0\r\n")
        slow.entered.wait(STOP_S)
        slow.server.stop(0.2)
        assert split(read_all(client))[0] == (503, b"one")


# With a part of a request behind them, calls that waited were begun at the end of a stop.
def test_calls_that_wait_before_a_part_of_a_request_are_cancelled_at_the_end_of_a_stop():
    slow = SlowServer()
    with connect(slow.address) as client:
        client.sendall(FIRST + SECOND + FIRST[:-1])
        slow.entered.wait(STOP_S)
        wait_until_read(slow.server)
        slow.server.stop(0.2)
        statuses = [status for status, _ in split(read_all(client))]
    assert statuses == [503, 503, 503]


# A full port closed a connection with a call under way, as a part of the next head had come on it.
def test_a_running_call_is_not_evicted_for_the_head_behind_it():
    slow = SlowServer(connections=1)
    with connect(slow.address) as client:
        client.sendall(FIRST)
        slow.entered.wait(STOP_S)
        client.sendall(SECOND[:10])
        wait_until_read(slow.server)
        with connect(slow.address) as another:
            assert split(read_all(another))[0][0] == 503
        slow.server.close_after_answers()
        slow.may_finish.set()
        client.sendall(SECOND[10:])
        assert split(read_all(client)) == [(200, b"one"), (200, b"two")]
    slow.server.stop(0)


# A long pipeline behind the last request of a connection was answered with a 413 of its own.
def test_nothing_behind_a_last_request_is_read_however_long_it_is():
    reader = request_reader.RequestReader(request_reader.RequestLimits(100, 100, 1.0, 1.0))
    reader.feed(FIRST.replace(b"host", b"connection: close\r\nhost"))
    assert reader.requests.popleft().body == b"one"
    for _ in range(10):
        reader.feed(SECOND)
    assert not reader.requests


# A stop took a connection for idle while the body of a request was on its way.
def test_a_request_whose_body_pauses_is_answered_in_a_stop():
    slow = SlowServer()
    slow.may_finish.set()
    with connect(slow.address) as client, concurrent.futures.ThreadPoolExecutor(1) as executor:
        client.sendall(FIRST[:-1])
        wait_until_read(slow.server)
        stopping = executor.submit(slow.server.stop, STOP_S)
        time.sleep(4 * httpd.STOP_IDLE_S)
        client.sendall(FIRST[-1:])
        answers = read_all(client)
        stopping.result(STOP_S)
    assert split(answers) == [(200, b"one")]


# What was read in part was cut off without a word at the end of a stop.
def test_a_request_that_is_not_complete_at_the_end_of_a_stop_is_refused_as_not_run():
    slow = SlowServer()
    with connect(slow.address) as client:
        client.sendall(FIRST[:-1])
        wait_until_read(slow.server)
        slow.server.stop(0.2)
        answers = read_all(client)
    assert split(answers)[0][0] == 503
    assert b"bergamotridge-verdict: not-run" in answers.lower()
    assert slow.handled == []


# No line and no metric told of requests that the server dropped with their connection.
def test_an_end_that_leaves_a_request_without_an_answer_is_reported():
    causes = []
    may_finish = asyncio.Event()

    async def ignore_cancellation(_request, _token):
        await may_finish.wait()
        return message.Response(200)

    server, address = start_server(ignore_cancellation, on_turned_away=causes.append)
    with connect(address) as client:
        client.sendall(FIRST)
        processes.wait_until(
            lambda: any(item.token for item in server.connections), "the request runs"
        )
        server.stop(0.2)
        event_loop.call(may_finish.set)
    assert causes == [http_connection.UNANSWERED]


# An idle check between the arrival of a request and its handling dropped the request.
def test_a_connection_with_a_request_that_waits_is_not_idle():
    slow = SlowServer()

    def receive():
        connection = http_connection.Connection(slow.server, asyncio.get_running_loop())
        connection.data_received(FIRST)
        return connection.is_idle_since(float("inf"))

    assert not event_loop.call(receive)
    slow.server.stop(0)


# After a pause of the process, the request was dropped: timers were handled before what arrived.
@pytest.mark.parametrize(("idle_s", "is_stopping"), [(30.0, True), (1.0, False)])
def test_a_request_that_arrives_while_the_process_stands_still_is_answered(idle_s, is_stopping):
    command = [sys.executable, "-m", "tests.test_util.plain_server", str(idle_s)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            with connect(process.stdout.readline().strip()) as client:
                client.sendall(FIRST)
                assert client.recv(65536).endswith(b"ok")
                if is_stopping:
                    process.send_signal(signal.SIGTERM)
                time.sleep(0.2)
                process.send_signal(signal.SIGSTOP)
                time.sleep(0.05)
                client.sendall(SECOND)
                time.sleep(1.2)  # Longer than a connection may be idle.
                process.send_signal(signal.SIGCONT)
                assert client.recv(65536).endswith(b"ok")
        finally:
            process.kill()


# An answer that had come while the process stood still was cut off at the end of its stop.
def test_an_answer_that_arrives_while_the_process_stands_still_passes_at_the_end_of_a_stop():
    stop_s = 2.0
    with socket.create_server(("127.0.0.1", 0)) as listener:
        upstream = "{}:{}".format(*listener.getsockname())
        command = [
            sys.executable,
            "-m",
            "tests.test_util.plain_server",
            "30",
            upstream,
            f"{stop_s}",
        ]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            try:
                with connect(process.stdout.readline().strip()) as client:
                    client.sendall(FIRST)
                    accepted, _ = listener.accept()
                    with accepted:
                        accepted.recv(1000)
                        process.send_signal(signal.SIGTERM)
                        time.sleep(stop_s / 10)
                        process.send_signal(signal.SIGSTOP)
                        time.sleep(stop_s)
                        accepted.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                        process.send_signal(signal.SIGCONT)
                        assert split(read_all(client)) == [(200, b"ok")]
            finally:
                process.kill()


# The log of a stop didn't tell how many connections were still open at their end.
def test_the_line_of_the_end_of_a_port_tells_how_many_connections_were_open():
    slow = SlowServer()
    with connect(slow.address) as client, connect(slow.address):
        client.sendall(FIRST)
        assert slow.entered.wait(STOP_S)
        processes.wait_until(lambda: len(slow.server.connections) == 2, "both are accepted")
        with logbook.TestHandler().applicationbound() as log:
            slow.server.stop(0.0)
    assert [record.message for record in log.records if "cuts off 1 running" in record.message] == [
        "the server 'test' stops and cuts off 1 running calls, of 2 open connections"
    ]


# After a pause of the process, a request was refused as late though all of it had arrived.
def test_a_head_whose_rest_arrives_while_the_process_stands_still_is_not_late():
    command = [sys.executable, "-m", "tests.test_util.plain_server", "2"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            with connect(process.stdout.readline().strip()) as client:
                client.sendall(FIRST[:20])
                time.sleep(0.2)
                process.send_signal(signal.SIGSTOP)
                time.sleep(0.05)
                client.sendall(FIRST[20:])
                time.sleep(2.2)  # Longer than a head may take.
                process.send_signal(signal.SIGCONT)
                assert client.recv(65536).endswith(b"ok")
        finally:
            process.kill()
