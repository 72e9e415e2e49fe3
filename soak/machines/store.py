"""The platform's metadata store, in memory, with its troubles."""

import asyncio
import contextlib
import functools
import json
import time

from soak.machines import record, wire

PORT = 8545  # Machines have ports of their own, from the next one on.
ANSWER_S = 0.004
SLOW_S = 0.6
LONGEST_WATCH_S = 30.0
MS_PER_S = 1000.0
COPY_EVERY_S, COPIES = 0.2, 100


class _RefusedError(Exception):
    """A call is answered by a reset."""


class Store:
    """All objects, and the troubles of the store.

    A trouble is empty, ``silent``, ``busy`` (503), ``slow``, ``reset`` or ``loses``: such a store
    has carried out what it was asked.

    Attributes:
        trouble: The trouble that all machines have.
        turned_away: The troubles of single machines by their numbers.
        deaf: True while watches hear nothing of changes.
    """

    def __init__(self, rows: record.Record) -> None:
        self.trouble = ""
        self.objects: dict[tuple[str, str], dict] = {}
        self.turned_away: dict[int, str] = {}
        self.deaf = False
        self.rows = rows
        self._revision, self._oldest, self._era = 10, 0, 1
        self._copies: list[tuple[float, int, dict]] = []  # With their times and revisions.
        self._writers: dict[int, set[asyncio.StreamWriter]] = {}
        self._ended_watches = 0
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, ip: str, number: int) -> str:
        """Listens for machine `number` and returns the address."""
        serve = functools.partial(self._serve, number)
        self._servers.append(await asyncio.start_server(serve, ip, PORT + number, backlog=200))
        return f"{ip}:{PORT + number}"

    def close(self) -> None:
        """Stops to listen."""
        for server in self._servers:
            server.close()

    def reset_connections(self, number: int) -> None:
        """Resets all connections of a machine."""
        for writer in self._writers.get(number, ()):
            wire.reset(writer)

    def compact(self) -> None:
        """Forgets its history: watches end, and those from before now get 410."""
        self._oldest = self._revision
        self._end_watches()

    def restore(self, age_s: float) -> None:
        """Comes back from a copy of some age; what the operator wrote since is written again."""
        until = self.rows.now() - age_s
        older = [item for item in self._copies if item[0] <= until] or self._copies[:1]
        _, revision, objects = older[-1]
        text = self.objects["config", "main"]["spec"]
        self.objects, self._revision = dict(objects), revision
        self._oldest = min(self._oldest, revision)
        self._events = [event for event in self._events if event[0] <= revision]
        self._copies = older
        self._era += 1
        self.write("config", "main", text)
        self._end_watches()

    def _end_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        self._ended_watches += 1

    def write(self, kind: str, name: str, spec: object) -> dict:
        """Writes an object without a condition, as the operator does."""
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "created": 1, "finalizers": []}
        item = {"metadata": metadata, "spec": spec, "status": {}}
        self.objects[kind, name] = item
        self._notify(kind, item, False)
        return item

    def _notify(self, kind: str, item: dict, deleted: bool) -> None:
        now = self.rows.now()
        if not self._copies or now >= self._copies[-1][0] + COPY_EVERY_S:
            self._copies = [*self._copies, (now, self._revision, dict(self.objects))][-COPIES:]
        self._events.append((self._revision, kind, {"object": item, "deleted": deleted}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, number: int, reader, writer) -> None:
        self._writers.setdefault(number, set()).add(writer)
        try:
            while True:
                message = await wire.read_head(reader)
                await wire.read_body(reader, message)
                status, table = await self._answer(number, message)
                fields = {"Content-Type": "application/json", "Store-Era": f"{self._era}"}
                body = json.dumps(table).encode()
                writer.write(wire.encode(f"HTTP/1.1 {status} X", fields, body))
                await writer.drain()
        except (wire.EndedError, ConnectionError):
            pass
        except _RefusedError:
            wire.reset(writer)
        finally:
            self._writers[number].discard(writer)
            writer.close()

    def _trouble_of(self, number: int) -> str:
        return self.trouble or self.turned_away.get(number, "")

    async def _answer(self, number: int, message: wire.Message) -> tuple[int, dict]:
        await asyncio.sleep(SLOW_S if self._trouble_of(number) == "slow" else ANSWER_S)
        trouble = self._trouble_of(number)
        if trouble == "silent":
            await self._lose_answer(number)
        if trouble == "reset":
            raise _RefusedError
        if trouble == "busy":
            return 503, {}
        method, target, _ = message.start.split(" ")
        path, _, query = target.partition("?")
        options = dict(item.split("=") for item in query.split("&") if item)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if method != "GET":
            answer = self._change(method, kind, name, options, message.body)
            if self._trouble_of(number) == "loses":
                await self._lose_answer(number)
            return answer
        if name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in options:
            wait_s = int(options.get("wait_ms", 0)) / MS_PER_S
            return await self._watch(number, kind, int(options["watch"]), wait_s)
        after = options.get("after", "")
        names = sorted(name for of, name in self.objects if of == kind and name > after)
        items = [self.objects[kind, name] for name in names]
        return 200, {"items": items, "more": False, "as_of": self._revision}

    async def _lose_answer(self, number: int) -> None:
        while self._trouble_of(number) in ("silent", "loses"):
            await asyncio.sleep(ANSWER_S)
        raise wire.EndedError("nothing further comes on this connection")

    def _change(self, method, kind, name, options, body: bytes) -> tuple[int, dict]:
        value = json.loads(body) if body else {}
        name = name or value["metadata"]["name"]
        current = self.objects.get((kind, name))
        if method == "POST":
            return (409, current) if current else (201, self.write(kind, name, value["spec"]))
        if not current:
            return 404, {}
        asked = value.get("metadata", {}).get("revision") or int(options.get("revision", 0))
        if asked and asked != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            self._revision += 1
            del self.objects[kind, name]
            self._notify(kind, current, True)
            return 200, current
        same = current["spec"] == value["spec"]
        return 200, current if same else self.write(kind, name, value["spec"])

    async def _watch(self, number: int, kind: str, since: int, wait_s: float) -> tuple[int, dict]:
        if not self._oldest <= since <= self._revision:
            return 410, {}
        deadline, ended = time.monotonic() + min(wait_s, LONGEST_WATCH_S), self._ended_watches
        while True:
            if ended != self._ended_watches:
                raise wire.EndedError("the watch is cut off")
            if self.turned_away.get(number) == "silent":
                await self._lose_answer(number)
            found = [event for rev, of, event in self._events if of == kind and rev > since]
            left_s = deadline - time.monotonic()
            if (found and not self.deaf) or left_s <= 0 or self._trouble_of(number):
                if self.deaf:
                    return 200, {"events": [], "as_of": since}
                return 200, {"events": found, "as_of": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.5))
