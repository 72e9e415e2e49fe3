"""Runs a node of the current directory with a fault planted in it, for tests of the soak's checks.

The environment variable names the fault as `Fault.parse` reads it. Each time that the fault acts,
a line goes to standard error.
"""

import asyncio
import os
import pathlib
import random
import runpy
import signal
import socket
import struct
import sys
import time

import attrs

VARIABLE = "SOAK_PLANTED"
ACTED = "planted:"
STATUSES = ("301", "400", "404", "408", "421", "429", "500", "502", "503", "504")
EARLY, UNPASSED = "early ", "unpassed "
# What is done in place of an answer of a server; what is early is done while the server still
# works, what is unpassed in place of sending the request on.
WAYS = (
    *("closed", "reset", "cut", "stalled", "never", "late"),
    *("wrong", "dropped", "exit", "sealed", *STATUSES),
    *(f"{EARLY}{way}" for way in ("closed", "reset", "503", "504")),
    *(f"{UNPASSED}{way}" for way in ("closed", "reset")),
)
NOT_RUN_STATUSES = ("408", "421", "429", "503")
PORTS = ("callers", "relay", "upstream")
MOMENTS = ("any", "stop", "late stop", "reload", "configuration", "reused", "pieces")
BESIDE_S = 3.0  # After a SIGHUP or a configuration.
LATE_STOP_S = 1.5  # Since the listeners began to close.
LATE_BY_S = 4.0
PAST_SLACK_S = 0.3  # A close within 0.2 s of the last byte may cross the request.
CUT_BYTES = 700
MIN_CUT_BYTES = 2 * CUT_BYTES
EARLY_S = 0.08  # Most servers have begun to work by then, and few are done.


class FaultError(Exception):
    """A fault is not named rightly."""


@attrs.frozen
class Fault:
    """What a node does wrong, at which of its ports, when, and to which share of the answers."""

    way: str
    port: str = "callers"
    moment: str = "any"
    share: float = 1.0

    @classmethod
    def parse(cls, text: str) -> "Fault":
        """Returns the fault named by ``WAY:PORT:MOMENT:SHARE``.

        Raises:
            FaultError: There is no such fault.
        """
        parts = text.split(":")
        if len(parts) != 4 or parts[0] not in WAYS or parts[1] not in PORTS:
            raise FaultError(f"no fault {text!r}; write WAY:PORT:MOMENT:SHARE, {WAYS}, {PORTS}")
        if parts[2] not in MOMENTS:
            raise FaultError(f"no moment {parts[2]!r} of a fault, there are {MOMENTS}")
        return cls(parts[0], parts[1], parts[2], float(parts[3]))


@attrs.define
class Moments:
    """When a process was last told of something; monotonic seconds."""

    reloaded_at: float = float("-inf")
    configured_at: float = float("-inf")
    stopping_since: float | None = None

    def hold(self, moment: str, answered: int, pieces: int, now: float) -> bool:
        """Returns True if it is the moment for a fault.

        Args:
            moment: The moment of the fault.
            answered: Requests that were answered before on the connection.
            pieces: Pieces in which the request came.
            now: The present time.
        """
        stopped_s = 0.0 if self.stopping_since is None else now - self.stopping_since
        return {
            "any": True,
            "stop": self.stopping_since is not None,
            "late stop": stopped_s > LATE_STOP_S,
            "reload": now < self.reloaded_at + BESIDE_S,
            "configuration": now < self.configured_at + BESIDE_S,
            "reused": answered > 0,
            "pieces": pieces > 1,
        }[moment]


class Planter:
    """Puts a fault into the classes of a node."""

    def __init__(self, fault: Fault) -> None:
        self._fault, self._moments = fault, Moments()
        self._left: set[asyncio.Task] = set()  # Requests that were answered before their servers.

    def plant(self) -> None:
        """Changes the classes; the signals and configurations of the process are noted too."""
        from bergamotridge import daemon, events

        reload, moments = daemon.log_changed_settings, self._moments
        emit = events.EventLog.emit

        def note_reload(*arguments):
            moments.reloaded_at = time.monotonic()
            return reload(*arguments)

        def note_event(log, kind, *arguments, **detail):
            if kind == "configuration.accepted":
                moments.configured_at = time.monotonic()
            return emit(log, kind, *arguments, **detail)

        daemon.log_changed_settings, events.EventLog.emit = note_reload, note_event
        if self._fault.port == "upstream":
            self._plant_in_pool()
        else:
            self._plant_in_connection()

    def _plant_in_connection(self) -> None:
        from bergamotridge.util import http_connection

        of = http_connection.Connection
        handle, received, planter = of._handle, of.data_received, self

        def count_pieces(connection, data):
            connection.__dict__["pieces"] = connection.__dict__.get("pieces", 0) + 1
            received(connection, data)

        async def answer(connection, request, token):
            own = connection.__dict__
            answered, pieces = own.get("answered", 0), own.get("pieces", 0)
            own["answered"], own["pieces"] = answered + 1, 0
            if connection._server.name != planter._fault.port:
                return await handle(connection, request, token)
            before = planter._fault.way.startswith((EARLY, UNPASSED))
            if before and planter._is_time(connection, answered, pieces):
                return await planter._end_before(connection, request, token, handle)
            response = await handle(connection, request, token)
            is_good = response.status == 200 and not before
            if is_good and planter._is_time(connection, answered, pieces):
                return await planter._end(connection, request, response, planter._fault.way)
            return response

        of._handle, of.data_received = answer, count_pieces

    def _is_time(self, connection, answered: int, pieces: int) -> bool:
        if connection._server.closing and self._moments.stopping_since is None:
            self._moments.stopping_since = time.monotonic()
        return self._draw(answered, pieces)

    def _draw(self, answered: int, pieces: int) -> bool:
        holds = self._moments.hold(self._fault.moment, answered, pieces, time.monotonic())
        return holds and random.random() < self._fault.share

    async def _end_before(self, connection, request, token, handle):
        """Ends a request while its server works, or without one."""
        way = self._fault.way
        if way.startswith(UNPASSED):
            await asyncio.sleep(PAST_SLACK_S)
            return await self._end(connection, request, None, way.removeprefix(UNPASSED))
        self._left.add(task := asyncio.create_task(handle(connection, request, token)))
        task.add_done_callback(self._left.discard)
        await asyncio.wait({task}, timeout=EARLY_S)
        if task.done():
            return task.result()
        return await self._end(connection, request, None, way.removeprefix(EARLY))

    async def _end(self, connection, request, response, way: str):
        """Ends a request wrongly, in place of its answer."""
        from bergamotridge.util import message

        transport = connection._transport
        if way in ("cut", "stalled") and len(response.body) < MIN_CUT_BYTES:
            return response
        _tell(request)
        if way == "closed":
            transport.close()
        elif way == "exit":
            os._exit(0)
        elif way == "reset":
            linger = struct.pack("ii", 1, 0)
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            transport.abort()
        elif way == "cut":
            transport.write(message.encode_response(response, keep_alive=False)[:-CUT_BYTES])
            transport.close()
        elif way == "stalled":
            transport.write(message.encode_response(response, keep_alive=True)[:-CUT_BYTES])
            await asyncio.Event().wait()
        elif way == "never":
            await asyncio.Event().wait()
        elif way == "late":
            await asyncio.sleep(LATE_BY_S)
        elif way == "wrong":
            return message.Response(response.status, response.headers, response.body[::-1])
        elif way == "sealed":
            return message.Response(503, response.headers, b"planted\n")
        elif way in STATUSES:
            told = b"not-run" if way in NOT_RUN_STATUSES else b"may-have-run"
            return message.Response(int(way), [(b"bergamotridge-verdict", told)], b"planted\n")
        return response or message.Response(500, [], b"")

    def _plant_in_pool(self) -> None:
        from bergamotridge import verdict
        from bergamotridge.util import http_client, httpd

        of, end, planter = http_client.Pool, httpd.Server.end, self
        send, way = of.send, self._fault.way

        async def note_end(server, grace_s):
            planter._moments.stopping_since = planter._moments.stopping_since or time.monotonic()
            await end(server, grace_s)

        async def exchange(pool, request, timeout_s, token=None, check=None):
            response = await send(pool, request, timeout_s, token, check)
            is_run = check is not None  # No call of the node's own, nor one to another node.
            if not is_run or response.status != 200 or not planter._draw(0, 0):
                return response
            _tell(request)
            if way == "never":
                await asyncio.Event().wait()
            if way == "late":
                await asyncio.sleep(LATE_BY_S)
            if way == "cut":
                response.body = response.body[:-CUT_BYTES]
            if way == "wrong":
                response.body = response.body[::-1]
            if way in STATUSES:
                response.status = int(way)
            if way in ("dropped", "closed", "reset"):
                raise http_client.TransferError("planted", verdict.Verdict.MAY_HAVE_RUN)
            return response

        of.send, httpd.Server.end = exchange, note_end


def _tell(request) -> None:
    named = request.header(b"request-id") or b""
    sys.stderr.write(f"{ACTED} {named.decode('latin-1')}\n")
    sys.stderr.flush()


def main() -> None:
    """Plants the fault that the environment names, and runs the node."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # Until the node minds it.
    script = pathlib.Path.cwd() / "platform/node.py"
    # As if the node had been started by itself.
    sys.path[0] = str(script.parent)
    sys.path.append(str(script.parent.parent))
    sys.argv = [str(script)]
    Planter(Fault.parse(os.environ[VARIABLE])).plant()
    runpy.run_path(str(script), run_name="__main__")


if __name__ == "__main__":
    main()
