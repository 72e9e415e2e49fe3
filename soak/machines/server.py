"""An application server: reports to the node beside it, runs requests and calls other services."""

import asyncio
import json
import random
import time

from soak.machines import client, record, server_faults, shape, wire

PORT, CONTROL_PORT = 8547, 8540
HEARTBEAT_S = 1.5
REPORT_S, AGAIN_S = 1.0, 0.2
TRICKLE_PIECES = 6
TRICKLE_PAUSE_S = 0.15
CROSSING_S = 0.3  # For which an answer may be under way.


class Server:
    """One incarnation of a server."""

    def __init__(self, rows: record.Record, machine, of: shape.Shape) -> None:
        self.id = f"i-{machine.number}-{random.getrandbits(32):08x}"
        self.ended = False
        self.faults = server_faults.Faults()
        self._rows, self._machine, self._shape = rows, machine, of
        self._service = of.service(machine.service)
        self._slots = asyncio.Semaphore(self._service.slots)
        self._held = 0
        self._state, self._seq = "ready", 0
        self._born = int(time.time() * 1000)
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None
        self._latest: dict[asyncio.StreamWriter, record.Run] = {}
        self._is_dark = False

    async def start(self) -> None:
        """Listens and begins to report."""
        self._server = await asyncio.start_server(
            self._serve, self._machine.ip, PORT, backlog=400, reuse_address=True
        )
        self._beats = asyncio.create_task(self._beat())
        self._rows.happen("server starts", self._machine.number, self.id)

    def go_dark(self) -> None:
        """Crashes with its machine: connections stay open, but nothing more is said on them."""
        self.ended = self._is_dark = True
        self._rows.happen("server ends", self._machine.number, self.id)
        self._beats.cancel()
        for task in self._tasks:
            task.cancel()

    def reset_connections(self, rng: random.Random, share: float) -> None:
        """Resets a share of its connections; answers that may be under way there are lost."""
        for writer in list(self._writers):
            if rng.random() >= share:
                continue
            run = self._latest.get(writer)
            if run is not None and (run.ended is None or run.ended > self._rows.now() - CROSSING_S):
                run.fault = server_faults.RESET
            wire.reset(writer)

    def end(self) -> None:
        """Ends as a process does: its connections end with it."""
        self.ended = True
        if not self._is_dark:
            self._rows.happen("server ends", self._machine.number, self.id)
        self._beats.cancel()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def leave(self, late_s: float, more_s: float, says_draining: bool) -> None:
        """Leaves as planned; a report of before arrives `late_s` after the confirmation."""
        late = self._report()
        self._beats.cancel()
        self._state = "draining"
        first = ("Heartbeat", self._report()) if says_draining else ("Deregister", b"")
        for _ in range(5):
            status = await self._say(*first)
            if 200 <= status < 300:
                self._rows.happen("leave confirmed", self._machine.number, self.id)
                break
        if late_s:
            await asyncio.sleep(late_s)
            await self._say("Heartbeat", late)
        await asyncio.sleep(max(2.5 + more_s - late_s, 0.0))
        if says_draining:
            await self._say("Deregister", b"")
        self.end()

    def _report(self) -> bytes:
        self._seq += 1
        table = {
            "service": self._service.name,
            "address": f"{self._machine.ip}:{PORT}",
            "zone": self._machine.zone,
            "version": "v1",
            "slots": self._service.slots,
            "state": self._state,
            "cold_remaining": "0ms",
            "seq": self._seq,
            "born": self._born,
        }
        return json.dumps(table).encode()

    async def _say(self, call: str, body: bytes) -> int:
        address = f"{self._machine.ip}:{CONTROL_PORT}"
        start = f"POST /Instances.{call}/{self.id} HTTP/1.1"
        status = await wire.ask(address, start, body, REPORT_S)
        if not status:
            await asyncio.sleep(AGAIN_S)
        return status

    async def _beat(self) -> None:
        while True:
            await self._say("Heartbeat", self._report())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer) -> None:
        if len(self._writers) >= self.faults.limit(self._service.connections):
            writer.transport.abort()
            return
        self._writers.add(writer)
        if self._is_dark:
            return
        self._tasks.add(task := asyncio.current_task())
        try:
            while await self._serve_one(reader, writer):
                pass
        except (wire.EndedError, ConnectionError, asyncio.CancelledError):
            pass
        except (ValueError, asyncio.LimitOverrunError) as error:
            self._rows.happen("server reads no request", self._machine.number, repr(error))
        finally:
            self._tasks.discard(task)
            self._latest.pop(writer, None)
            if not self._is_dark:
                self._writers.discard(writer)
                writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        """Returns False if the connection is to end."""
        message = await wire.read_head(reader)
        fault = self.faults.draw()
        if fault != server_faults.EARLY:
            await wire.read_body(reader, message)
        is_kept = await self._answer(message, fault, writer)
        if fault == server_faults.EARLY:
            await self._read_late_body(reader, message)
        return is_kept

    async def _read_late_body(self, reader, message: wire.Message) -> None:
        """Reads the body of a request that has been answered before."""
        await wire.read_body(reader, message)
        for run in self._rows.runs:
            if run.server == self.id and run.id == message.fields.get("request-id"):
                run.digest = wire.digest(message.body)

    async def _answer(self, message: wire.Message, fault: str, writer) -> bool:
        _, path, _ = message.start.split(" ")
        fields = message.fields
        request_id = fields.get("request-id", "")
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(wire.encode("HTTP/1.1 421 X", {"Instance-Id": self.id}))
            return True
        left_s = int(fields.get("deadline-ms", 10_000)) / shape.MS_PER_S
        if not await self._take_slot(left_s):
            refused = {"Request-Id": request_id, "Not-Executed": "full"}
            writer.write(wire.encode("HTTP/1.1 503 Full", refused))
            return True
        try:
            if path == "/health":
                start = "HTTP/1.1 200 OK" if self._state == "ready" else "HTTP/1.1 503 X"
                writer.write(wire.encode(start, {"Instance-Id": self.id}))
                return True
            self._latest[writer] = run = self._record_run(message, fault)
            return await self._run(run, fields, writer)
        finally:
            self._give_slot_back()

    async def _take_slot(self, left_s: float) -> bool:
        """Waits for a slot; returns False if the queue is full or the time is over before."""
        if self._held >= self._service.slots + self._service.queue:
            return False
        self._held += 1
        try:
            async with asyncio.timeout(left_s):
                return await self._slots.acquire()
        except TimeoutError:
            self._held -= 1
            return False
        except asyncio.CancelledError:
            self._held -= 1
            raise

    def _give_slot_back(self) -> None:
        self._held -= 1
        self._slots.release()

    def _record_run(self, message: wire.Message, fault: str) -> record.Run:
        method, path, _ = message.start.split(" ")
        fields = message.fields
        run = record.Run(
            fields.get("request-id", ""), self.id, self._machine.number, self._rows.now(), method,
            path, wire.digest(message.body), fields.get("caller-service", ""), self._service.name,
            fields.get("host", ""), status=-1, fault=fault, team=fields.get("tenant", ""),
            key=fields.get("authorization", ""),
        )  # fmt: skip
        if fault == server_faults.EARLY:
            run.digest = ""  # The body isn't read yet.
        self._rows.runs.append(run)
        return run

    async def _run(self, run: record.Run, fields: dict, writer) -> bool:
        try:
            return await self._run_to_end(run, fields, writer)
        finally:
            run.ended = self._rows.now()

    async def _run_to_end(self, run: record.Run, fields: dict, writer) -> bool:
        _, kind, work_ms, size, mode, depth = run.path.split("/")
        left_s = int(fields.get("deadline-ms", 10_000)) / 1000
        work_s = self.faults.slow_down(int(work_ms) / shape.MS_PER_S)
        await asyncio.sleep(min(work_s, left_s))
        good = await self._make_calls(self._shape.kind(kind), int(depth))
        good &= not self.faults.draw_failure()
        status = 504 if work_s > left_s else 200 if good else 500
        answer = {"Request-Id": run.id, "Response-Seal": f"s.{self.id}.{run.id}"}
        body = wire.content(run.id, int(size)) if status == 200 else b"failed"
        start = f"HTTP/1.1 {status} X"
        if run.fault:
            is_kept = await server_faults.send(writer, run.fault, start, answer, body)
        else:
            await self._send_answer(writer, start, answer, body, mode, run.method == "HEAD")
            is_kept = mode != "close"
        run.status = status
        return is_kept

    async def _make_calls(self, kind: shape.Kind, depth: int) -> bool:
        """Makes the calls of a run, one after the other; returns False if one fails."""
        if depth:
            service = random.choice(self._shape.services).name
            any_kind = self._shape.kinds[0]
            return await self._call(any_kind, service, f"/15/500/length/{depth - 1}")
        for call in kind.calls:
            called = self._shape.kind(call.kind)
            for _ in range(call.times):
                work_ms = shape.draw_around(random, called.work_ms)
                size = shape.draw_around(random, called.response_bytes)
                if not await self._call(called, called.service, f"/{work_ms}/{size}/length/0"):
                    return False
        return True

    async def _call(self, kind: shape.Kind, service: str, path: str) -> bool:
        """Makes a call of its own through the node beside it."""
        style = client.Style("server", kept=False)
        connection = client.Connection(self._rows, self._machine.outbound, style)
        if not await connection.open_up():
            return False
        job = client.Job(kind, service, f"/{kind.name}{path}")
        try:
            attempts = await connection.exchange(
                [job], f"server {self.id}", self._machine.number, self._machine.service
            )
        finally:
            connection.close()
        return attempts[0].status == 200

    async def _send_answer(
        self, writer, start: str, fields: dict, body: bytes, mode: str, only_head: bool
    ) -> None:
        if mode == "chunked":
            fields |= {"Transfer-Encoding": "chunked"}
            framed = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            whole = wire.encode(start, fields, length=False) + framed + b"0\r\n\r\n"
        elif mode == "close":
            whole = wire.encode(start, fields | {"Connection": "close"}, length=False) + body
        else:
            whole = wire.encode(start, fields, body)
        if only_head:
            whole = whole[: whole.index(wire.HEAD_END) + len(wire.HEAD_END)]
        step = len(whole) // TRICKLE_PIECES + 1 if mode == "trickle" else len(whole)
        for begin in range(0, len(whole), step):
            writer.write(whole[begin : begin + step])
            await writer.drain()
            if mode == "trickle":
                await asyncio.sleep(TRICKLE_PAUSE_S)
