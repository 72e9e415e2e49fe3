"""The HTTP client of a process that was stopped for a while, as by SIGSTOP, and goes on."""

import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import time

from bergamotridge.util import http_client
from standins import processes

TIME_LIMIT_S = 1.0
SIZE = 100_000
PROGRAM = f"""
import sys
from bergamotridge.util import http_client, loop, message

client = loop.Loop("client")
pool = http_client.Pool(sys.argv[1], {2 * SIZE})
request = message.Request(b"GET", b"/", [(b"host", b"a")])
try:
    print(client.run(pool.send(request, {TIME_LIMIT_S})).status)
except http_client.TransferError as error:
    print(error, "refused" if error.refused_beside is not None else "", sep=";")
"""


def is_stopped(pid):
    return pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"


# An answer that had come while the process was stopped was given up, as its timers ran first.
def test_an_answer_that_came_while_the_process_was_stopped_is_read():
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % SIZE + bytes(SIZE)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        command = [sys.executable, "-c", PROGRAM, address]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as client:
            accepted, _ = listener.accept()
            with accepted:
                accepted.recv(1000)
                os.kill(client.pid, signal.SIGSTOP)
                processes.wait_until(lambda: is_stopped(client.pid), "the client is stopped")
                accepted.sendall(answer)
                time.sleep(TIME_LIMIT_S)
                os.kill(client.pid, signal.SIGCONT)
                assert client.communicate()[0] == "200\n"


# A connection that its server had refused was taken for one that broke, after a stop of the process
# that was longer than a refusal takes; so its calls were sent on further ones.
def test_a_connection_refused_while_the_process_was_stopped_counts_as_refused():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        command = [sys.executable, "-c", PROGRAM, address]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as client:
            accepted, _ = listener.accept()
            with accepted:
                accepted.recv(1000)
                os.kill(client.pid, signal.SIGSTOP)
                processes.wait_until(lambda: is_stopped(client.pid), "the client is stopped")
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            time.sleep(2 * http_client.REFUSAL_S)
            os.kill(client.pid, signal.SIGCONT)
            assert client.communicate()[0].endswith(";refused\n")
