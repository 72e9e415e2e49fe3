"""Clients on a machine: each kind sends its requests in a way of its own."""

import asyncio
import random

import attrs

from soak.machines import record, wire

DEADLINE_S = 7.0
CONNECT_S = 1.0
REFUSED_PAUSE_S = 0.15
METHODS = {"s": "GET", "u": "POST"}


@attrs.frozen
class Job:
    """What a request asks for: the path tells the server what to do."""

    service: str
    kind: str
    work_ms: int = 50
    size: int = 4000
    mode: str = "length"
    depth: int = 0

    @property
    def path(self) -> str:
        """Path of the request."""
        return f"/{self.kind}/{self.work_ms}/{self.size}/{self.mode}/{self.depth}"


@attrs.frozen
class Style:
    """How a client sends and reads.

    Attributes:
        kept: True if it keeps its connection.
        behind: Requests that are sent one behind the other.
        body: Bytes of the body, sent in `pieces` with pauses.
        head_pause_s: Pause after each byte of the head.
        read_pause_s: Pause after each piece that is read.
    """

    name: str
    kept: bool = True
    behind: int = 1
    body: int = 0
    pieces: int = 1
    chunked: bool = False
    piece_pause_s: float = 0.0
    head_pause_s: float = 0.0
    read_pause_s: float = 0.0
    size: int = 4000


STYLES = (
    Style("kept", body=1200),
    Style("fresh", kept=False, body=300),
    Style("behind", behind=3, body=200),
    Style("pieces", body=6000, pieces=5, piece_pause_s=0.7),
    Style("chunks", body=6000, pieces=6, piece_pause_s=0.25, chunked=True),
    Style("bytewise", kept=False, head_pause_s=0.008),
    Style("slow reader", read_pause_s=0.012, size=1_000_000),
    Style("large", size=400_000, body=200_000),
)


class Connection:
    """One connection to the node of a machine, for one request after another."""

    def __init__(self, rows: record.Record, address: str, style: Style) -> None:
        self.open = False
        self._rows, self._address, self._style = rows, address, style
        self._reader = self._writer = None
        self._connected = 0.0

    async def open_up(self) -> bool:
        """Connects; returns False if nobody listens."""
        try:
            async with asyncio.timeout(CONNECT_S):
                self._reader, self._writer = await wire.connect(
                    self._address, self._style.read_pause_s > 0
                )
        except (OSError, TimeoutError):
            return False
        self.open, self._connected = True, self._rows.now()
        return True

    def close(self) -> None:
        """Closes the connection."""
        self.open = False
        if self._writer is not None:
            self._writer.close()

    async def exchange(self, jobs: list[Job], by: str, machine: int, service: str):
        """Sends requests one behind the other and reads the answers; returns the attempts."""
        attempts = [self._make_attempt(job, by, machine, service) for job in jobs]
        for attempt in attempts:
            attempt.alone = len(jobs) == 1
        self._rows.attempts += attempts
        answers = asyncio.create_task(self._read_answers(attempts))
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                for attempt, job in zip(attempts, jobs, strict=True):
                    await self._send(attempt, job, answers)
                await answers
        except (OSError, wire.EndedError, asyncio.IncompleteReadError) as error:
            self._fail(attempts, "reset" if isinstance(error, OSError) else None, repr(error))
        except TimeoutError:
            self._fail(attempts, "timeout", "")
        except asyncio.CancelledError:
            self._fail(attempts, "gave up", "")
            raise
        finally:
            answers.cancel()
            await asyncio.gather(answers, return_exceptions=True)
        return attempts

    def _make_attempt(self, job: Job, by: str, machine: int, service: str) -> record.Attempt:
        request_id = self._rows.next_id()
        body = wire.content(request_id, self._body_size(job))
        return record.Attempt(
            request_id, by, machine, service, METHODS[job.kind], job.path,
            wire.digest(body), job.kind == "s", connected=self._connected,
        )  # fmt: skip

    def _body_size(self, job: Job) -> int:
        return self._style.body if job.kind == "u" else 0

    async def _send(self, attempt: record.Attempt, job: Job, answers: asyncio.Task) -> None:
        style, writer = self._style, self._writer
        body = wire.content(attempt.id, self._body_size(job))
        fields = {"Host": f"{job.service}.test", "Request-Id": attempt.id}
        fields["Deadline-Ms"] = int(DEADLINE_S * 1000)
        fields |= {"Transfer-Encoding": "chunked"} if style.chunked and body else {}
        start = f"{attempt.method} {attempt.path} HTTP/1.1"
        whole = wire.encode(start, fields, body, "Transfer-Encoding" not in fields)
        head, attempt.began = whole[: len(whole) - len(body)], self._rows.now()
        if style.pieces == 1 and not style.head_pause_s:
            writer.write(whole)
        else:
            for number in range(len(head) if style.head_pause_s else 1):
                if answers.done():  # The node has answered early, or ended the connection.
                    return
                writer.write(head[number : number + 1] if style.head_pause_s else head)
                await asyncio.sleep(style.head_pause_s)
            await self._send_pieces(body, answers)
        await writer.drain()
        if not answers.done() and not writer.is_closing():
            attempt.sent = self._rows.now()

    async def _send_pieces(self, body: bytes, answers: asyncio.Task) -> None:
        step = len(body) // self._style.pieces or 1
        for begin in range(0, len(body), step):
            await asyncio.sleep(self._style.piece_pause_s)
            if answers.done():
                return
            piece = body[begin : begin + step]
            framed = b"%x\r\n%s\r\n" % (len(piece), piece)
            self._writer.write(framed if self._style.chunked else piece)
            await self._writer.drain()
        if self._style.chunked and body:
            self._writer.write(b"0\r\n\r\n")

    async def _read_answers(self, attempts: list[record.Attempt]) -> None:
        for attempt in attempts:
            message = wire.Message("", {})
            try:
                message = await wire.read_head(self._reader)
                attempt.sealed = "response-seal" in message.fields
                await wire.read_body(self._reader, message, True, self._style.read_pause_s)
            finally:
                attempt.got = len(message.body)
            self._finish(attempt, message)
            if message.fields.get("connection", "").lower() == "close" or (
                "content-length" not in message.fields and "transfer-encoding" not in message.fields
            ):
                self.open = False
                if attempt is not attempts[-1]:
                    await self._reader.read()  # How the connection ends tells what was read.
                    raise wire.EndedError("an answer ends the connection")

    def _finish(self, attempt: record.Attempt, message: wire.Message) -> None:
        attempt.ended, attempt.end, attempt.status = self._rows.now(), "answer", message.status
        size = int(attempt.path.split("/")[3])
        attempt.whole = message.body == wire.content(attempt.id, size)
        if message.status != 200:
            attempt.text = message.body[:80].decode("latin-1")

    def _fail(self, attempts: list[record.Attempt], end: str | None, text: str) -> None:
        for attempt in attempts:
            if not attempt.end:
                attempt.ended, attempt.text = self._rows.now(), text
                attempt.end = end or wire.tell_end(self._writer)
        self.close()


def draw_job(rng: random.Random, services, style: Style) -> Job:
    """Draws what a request asks for."""
    return Job(
        rng.choice(services),
        rng.choice("ssuuu" if style.body else "s"),
        rng.choice((5, 30, 80, 150, 300, 800)),
        style.size if style.size > 4000 else rng.choice((0, 300, 4000, 30000)),
        rng.choice(("length", "length", "chunked", "close", "trickle")),
        rng.choice((0, 0, 0, 1, 2, 3)) if style.size <= 4000 else 0,
    )


async def send_steadily(rows, machine, style: Style, seed: str, services, until: float) -> None:
    """Sends requests until a time; a kept connection is used until its node ends it."""
    rng = random.Random(seed)
    connection = None
    while rows.now() < until:
        if connection is None or not connection.open:
            connection = Connection(rows, machine.outbound, style)
            if not await connection.open_up():
                connection = None
                await asyncio.sleep(REFUSED_PAUSE_S)
                continue
        jobs = [draw_job(rng, services, style) for _ in range(style.behind)]
        await connection.exchange(jobs, style.name, machine.number, machine.service)
        if not style.kept or not connection.open:
            connection.close()
            connection = None
        await asyncio.sleep(rng.uniform(0.0, 0.5))
