"""A kept connection tells a request that was read and dropped from one that was not read."""

import socket
import threading

import pytest

from soak import callers

REQUEST = b"GET / HTTP/1.1\r\n\r\n"


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening


def exchange_with(listener, serve):
    """Returns the reply of a server that handles one connection with `serve`."""

    def accept():
        accepted, _ = listener.accept()
        with accepted:
            serve(accepted)

    thread = threading.Thread(target=accept)
    thread.start()
    connection = callers.KeptConnection("{}:{}".format(*listener.getsockname()))
    connection.open()
    reply = connection.exchange("GET", REQUEST, 10)
    connection.close()
    thread.join()
    return reply


def receive_all(accepted):
    received = b""
    while len(received) < len(REQUEST):
        received += accepted.recv(1000)


def respond(accepted, response):
    receive_all(accepted)
    accepted.sendall(response)


def test_whole_response(listener):
    response = b"HTTP/1.1 200 OK\r\nBergamotridge-Verdict: run\r\nContent-Length: 2\r\n\r\nab"
    reply = exchange_with(listener, lambda accepted: respond(accepted, response))
    assert (reply.status, reply.verdict, reply.body, reply.error) == (200, "run", b"ab", "")


def test_request_that_was_read_and_not_answered(listener):
    assert exchange_with(listener, receive_all).error == "closed"


def test_request_that_was_not_read(listener):
    assert exchange_with(listener, lambda accepted: accepted.recv(1)).error == "reset"


def test_connection_that_ended_before_the_request_was_sent(listener):
    connection = callers.KeptConnection("{}:{}".format(*listener.getsockname()))
    connection.open()
    accepted, _ = listener.accept()
    accepted.close()
    assert connection.exchange("GET", REQUEST, 10).error == "closed-early"


def test_response_that_ends_early(listener):
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
    reply = exchange_with(listener, lambda accepted: respond(accepted, response))
    assert (reply.status, reply.error) == (0, "incomplete")


@pytest.mark.parametrize(
    ("reply", "body"),
    [
        (callers.Reply(200, body=b"t1 back ".ljust(callers.BODY_BYTES, b".")), "ok"),
        (callers.Reply(200, body=b"t2 back ".ljust(callers.BODY_BYTES, b".")), "crossed"),
        (callers.Reply(200, body=b"t1 back .."), "cut"),
        (callers.Reply(error="incomplete"), "cut"),
        (callers.Reply(503), "none"),
    ],
)
def test_bodies_are_told_apart(reply, body):
    assert callers.classify_body(reply, "t1") == body
