"""An application server beside a node: reports to it, and runs requests."""

import asyncio
import contextlib
import json
import random
import time

import record
import wire

HEARTBEAT_S = 1.5
REPORT_S = 1.0


class Server:
    """One start of a server."""

    def __init__(self, rows: record.Record, machine, slots: int = 58) -> None:
        self.id = f"i-{random.getrandbits(32):08x}"
        self.state = "ready"
        self.extra: dict[str, str] = {}  # Header fields that it adds to all its answers.
        self._rows, self._machine = rows, machine
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens, and begins to report."""
        host, port = self._machine.app_address
        self._server = await asyncio.start_server(self._serve, host, port, backlog=400)
        self._beats = asyncio.create_task(self._beat())

    def end(self) -> None:
        """Ends as a process does that is killed: its connections end with it."""
        if self._beats is not None:
            self._beats.cancel()
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def report(self) -> bytes:
        """Returns the next liveness report."""
        self._seq += 1
        host, port = self._machine.app_address
        table = {
            "service": self._machine.service,
            "address": f"{host}:{port}",
            "zone": self._machine.zone,
            "version": "v1",
            "slots": self._slot_count,
            "state": self.state,
            "cold_remaining": "0ms",
            "seq": self._seq,
            "born": self._born,
        }
        return json.dumps(table).encode()

    async def say(self, call: str, body: bytes) -> int:
        """Makes one call to the node beside it; returns the status, 0 without an answer."""
        start = f"POST /Instances.{call}/{self.id} HTTP/1.1"
        fields = {"Host": "node", "Content-Type": "application/json"}
        status, _, _ = await wire.ask(self._machine.control_address, start, fields, body, REPORT_S)
        return status

    async def _beat(self) -> None:
        while True:
            await self.say("Heartbeat", self.report())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(wire.EndedError, ConnectionError):
            while True:
                start, fields = await wire.read_head(reader)
                body = await wire.read_body(reader, fields)
                writer.write(await self._answer(start, fields, body))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, start: str, fields: dict[str, str], body: bytes) -> bytes:
        path = start.split(" ")[1]
        request_id = fields.get("request-id", "")
        echoed = {"Request-Id": request_id, **self.extra} if request_id else dict(self.extra)
        if fields.get("expect-instance", self.id) != self.id:
            return wire.encode("HTTP/1.1 421 X", {**echoed, "Not-Executed": "1"})
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 X"
            return wire.encode(f"HTTP/1.1 {status}", {"Instance-Id": self.id})
        async with self._slots:
            self._rows.add(
                "run",
                id=request_id,
                server=self.id,
                machine=self._machine.name,
                tenant=fields.get("tenant", ""),
                path=path,
            )
            await asyncio.sleep(int(path.split("/")[2]) / 1000)
        seal = {"Response-Seal": f"s.{self.id}.{request_id}"}
        return wire.encode("HTTP/1.1 200 OK", {**echoed, **seal}, f"done {request_id}".encode())
