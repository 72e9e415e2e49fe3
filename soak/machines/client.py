"""Clients on a machine: each kind sends its requests in a way of its own."""

import asyncio
import random

import attrs

from soak.machines import kernel, record, shape, wire

CONNECT_S = 1.0
REFUSED_PAUSE_S = 0.15
PAUSES_S = ((0.0, 0.5), (0.5, 1.6), (1.9, 2.1))  # The limit of configuration.make is 2.
LOOK_S = 0.02  # Between two looks at what the node has read.
LAST_ANSWER_S = 1.0  # After the deadline.
FORGED = {"Tenant": "forged", "Caller-Service": "forged"}
WORK_MS = (5, 30, 80, 150, 300, 800)


@attrs.frozen
class Style:
    """How a client sends and reads.

    Attributes:
        kept: True if it keeps its connection.
        behind: Requests that are sent one behind the other.
        body: Bytes of the body, sent in `pieces` with pauses.
        head_pause_s: Pause before each byte of the head.
        read_pause_s: Pause after each piece that is read.
        forges: True if it sends the headers that only nodes set.
        safe_method: Method of requests that may run more than once; they have no body.
        unsafe_method: Method of all others.
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
    size: int = 0
    forges: bool = False
    safe_method: str = "GET"
    unsafe_method: str = "POST"


STYLES = (
    Style("kept", body=1200),
    Style("fresh", kept=False, body=300, forges=True),
    Style("behind", behind=3, body=200, forges=True),
    Style("pieces", body=6000, pieces=5, piece_pause_s=0.7),
    Style("chunks", body=6000, pieces=6, piece_pause_s=0.25, chunked=True),
    Style("bytewise", kept=False, head_pause_s=0.008),
    Style("slow reader", read_pause_s=0.012, size=1_000_000),
    Style("large", size=400_000, body=200_000),
)


@attrs.frozen
class Job:
    """One request to make: its kind, the service that runs it, its path, and the key to send.

    `last_at` is when its last byte is to be sent, None if its client's pauses tell.
    """

    kind: shape.Kind
    service: str
    path: str
    key: str = ""
    last_at: float | None = None


class Connection:
    """One connection to the node of a machine, for one request after another."""

    def __init__(self, rows: record.Record, address: str, style: Style) -> None:
        self.open, self.address = False, address
        self._torn = False
        self._rows, self._style = rows, style
        self._reader = self._writer = None
        self._connected = 0.0
        self._written = self._answers = 0  # Bytes, and answers, on this connection.

    async def open_up(self) -> bool:
        """Connects; returns False if nobody listens."""
        try:
            async with asyncio.timeout(CONNECT_S):
                self._reader, self._writer = await wire.connect(
                    self.address, self._style.read_pause_s > 0
                )
        except (OSError, TimeoutError):
            return False
        self.open, self._connected = True, self._rows.now()
        self._rows.connections.add(self)
        return True

    def close(self) -> None:
        """Closes the connection."""
        self.open = False
        if self._writer is not None:
            self._writer.close()

    def tear(self) -> None:
        """Resets the connection, as a fault between the client and its node does."""
        self.open, self._torn = False, True
        wire.reset(self._writer)

    async def exchange(
        self, jobs: list[Job], by: str, machine: int, service: str
    ) -> list[record.Attempt]:
        """Sends requests one behind the other; reads the answers."""
        attempts = [self._make_attempt(job, by, machine, service) for job in jobs]
        patience_s = max(job.kind.deadline_ms for job in jobs) / shape.MS_PER_S + LAST_ANSWER_S
        sending_s = sum(
            self._plan_sending(attempt, job) for attempt, job in zip(attempts, jobs, strict=True)
        )
        for attempt in attempts:
            attempt.alone = len(jobs) == 1
        self._rows.attempts += attempts
        answers = asyncio.create_task(self._read_answers(attempts))
        looks = asyncio.create_task(self._look(attempts))
        try:
            async with asyncio.timeout(sending_s + patience_s) as limit:
                for attempt, job in zip(attempts, jobs, strict=True):
                    await self._send(attempt, job, answers)
                limit.reschedule(asyncio.get_running_loop().time() + patience_s)
                await answers
        except TimeoutError:
            self._fail(attempts, "timeout", "")
        except (OSError, wire.EndedError) as error:
            self._fail(attempts, "reset" if isinstance(error, OSError) else "", repr(error))
        except asyncio.CancelledError:
            self._fail(attempts, "gave up", "")
            raise
        finally:
            answers.cancel()
            looks.cancel()
            await asyncio.gather(answers, looks, return_exceptions=True)
        self.open &= all(attempt.sent is not None for attempt in attempts)
        return attempts

    def _make_attempt(self, job: Job, by: str, machine: int, service: str) -> record.Attempt:
        request_id, is_safe = self._rows.next_id(), job.kind.safe
        method = self._style.safe_method if is_safe else self._style.unsafe_method
        return record.Attempt(
            request_id, by, machine, service, method, job.path,
            wire.digest(self._make_body(request_id, job)), is_safe, connected=self._connected,
            reused=self._answers > 0, timeout_s=job.kind.timeout_ms / shape.MS_PER_S, key=job.key,
            reads_slowly=self._style.read_pause_s > 0,
        )  # fmt: skip

    def _make_body(self, request_id: str, job: Job) -> bytes:
        is_empty = job.kind.safe or self._style.unsafe_method == "DELETE"
        size = 0 if is_empty else self._style.body or round(job.kind.request_bytes)
        return wire.content(request_id, size)

    def _plan_sending(self, attempt: record.Attempt, job: Job) -> float:
        """Returns how long the pauses of a request take, in seconds."""
        if job.last_at is not None:
            return max(0.0, job.last_at - self._rows.now())
        return sum(pause_s for _, pause_s in self._cut(attempt, job))

    async def _send(self, attempt: record.Attempt, job: Job, answers: asyncio.Task) -> None:
        attempt.began = self._rows.now()
        pieces = self._cut(attempt, job)
        for index, (piece, pause_s) in enumerate(pieces):
            if index and job.last_at is not None:
                pause_s = (job.last_at - self._rows.now()) / (len(pieces) - index)
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            if answers.done():  # The node has answered early, or ended the connection.
                return
            self._writer.write(piece)
            self._written += len(piece)
            await self._writer.drain()
        attempt.last_byte = self._written
        if not answers.done() and not self._writer.is_closing():
            attempt.sent = self._rows.now()

    async def _look(self, attempts: list[record.Attempt]) -> None:
        """Asks the kernel again and again what the node has read, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            pending = kernel.find_pending(self._writer)
            now = self._rows.now()
            for attempt in attempts if pending is not None else ():
                attempt.looked, attempt.accepted = now, attempt.accepted or pending.accepted
                is_taken = attempt.last_byte and self._written - pending.size >= attempt.last_byte
                if attempt.taken is None and is_taken and pending.accepted:
                    attempt.taken = now

    def _cut(self, attempt: record.Attempt, job: Job) -> list[tuple[bytes, float]]:
        """Returns the pieces of a request, and the pause before each."""
        style, body = self._style, self._make_body(attempt.id, job)
        fields = {"Host": f"{job.service}.test", "Request-Id": attempt.id}
        fields |= {"Deadline-Ms": job.kind.deadline_ms}
        fields |= {"Authorization": f"Bearer {job.key}"} if job.key else {}
        fields |= FORGED if style.forges else {}
        is_chunked = style.chunked and bool(body)
        fields |= {"Transfer-Encoding": "chunked"} if is_chunked else {}
        start = f"{attempt.method} {attempt.path} HTTP/1.1"
        has_length = not is_chunked and (bool(body) or attempt.method not in wire.WITHOUT_LENGTH)
        head = wire.encode(start, fields, body, has_length).removesuffix(body)
        step = len(body) // style.pieces or 1
        bodies = [body[begin : begin + step] for begin in range(0, len(body), step)]
        if is_chunked:
            bodies = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in bodies]
            bodies.append(b"0\r\n\r\n")
        heads = [bytes([byte]) for byte in head] if style.head_pause_s else [head]
        if style.pieces == 1 and not style.head_pause_s:
            return [(head + b"".join(bodies), 0.0)]
        return [
            *((piece, style.head_pause_s) for piece in heads),
            *((piece, style.piece_pause_s) for piece in bodies),
        ]

    async def _read_answers(self, attempts: list[record.Attempt]) -> None:
        for attempt in attempts:
            message = wire.Message("", {})
            try:
                message = await wire.read_head(self._reader)
                attempt.head_at = self._rows.now()
                attempt.sealed = "response-seal" in message.fields
                if attempt.method != "HEAD":
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
        self._answers += 1
        size = int(attempt.path.split("/")[3])
        is_head = attempt.method == "HEAD"
        attempt.whole = is_head or message.body == wire.content(attempt.id, size)
        if message.status != 200:
            attempt.text = message.body[:80].decode("latin-1")

    def _fail(self, attempts: list[record.Attempt], end: str, text: str) -> None:
        end = "torn" if self._torn and end != "gave up" else end
        for attempt in attempts:
            if not attempt.end:
                attempt.ended, attempt.text = self._rows.now(), text
                attempt.end = end or wire.tell_end(self._writer)
        self.close()


def draw_job(rng: random.Random, of: shape.Shape, style: Style, key: str) -> Job:
    """Draws a request of a client with a key; its path tells the server what to do."""
    kind = of.draw_kind(rng)
    work_ms = shape.draw_around(rng, kind.work_ms) if kind.work_ms else rng.choice(WORK_MS)
    sizes = (0, 300, 4000, 30000)
    mean = kind.response_bytes
    size = style.size or (shape.draw_around(rng, mean) if mean else rng.choice(sizes))
    mode = rng.choice(("length", "length", "chunked", "close", "trickle"))
    is_any = not kind.service
    depth = rng.choice((0, 0, 0, 1, 2, 3)) if is_any and not style.size else 0
    service = rng.choice(of.services).name if is_any else kind.service
    path = f"/{kind.name}/{work_ms}/{size}/{mode}/{depth}"
    return Job(kind, service, path, "" if of.is_public(kind) else key)


async def send_steadily(
    rows: record.Record, machine, style: Style, seed: str, of: shape.Shape, until: float
) -> None:
    """Sends requests until a time; a kept connection is used until its node ends it."""
    rng = random.Random(seed)
    key = of.draw_key(rng)
    connection = None
    while rows.now() < until:
        if connection is None or not connection.open:
            connection = Connection(rows, machine.outbound, style)
            if not await connection.open_up():
                connection = None
                await asyncio.sleep(REFUSED_PAUSE_S)
                continue
        jobs = [draw_job(rng, of, style, key) for _ in range(style.behind)]
        await connection.exchange(jobs, style.name, machine.number, machine.service)
        if not style.kept or not connection.open:
            connection.close()
            connection = None
        # At times as long as a client may, or until about the moment at which the node may close.
        await asyncio.sleep(rng.uniform(*rng.choices(PAUSES_S, (8, 1, 1))[0]))
