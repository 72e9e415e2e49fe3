"""The platform's metadata store, in memory, with its troubles."""

import asyncio
import contextlib
import json
import time

from soak.machines import record, wire

PORT = 8545
ANSWER_S = 0.004
SLOW_S = 0.6
LONGEST_WATCH_S = 30.0


class Store:
    """All objects; `trouble` is empty, ``silent``, ``busy`` (503), ``slow`` or ``loses``.

    A store that loses answers has carried out what it was asked.
    """

    def __init__(self, rows: record.Record) -> None:
        self.trouble = ""
        self.objects: dict[tuple[str, str], dict] = {}
        self._rows = rows
        self._revision = 10
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> str:
        """Listens and returns the address."""
        self._server = await asyncio.start_server(self._serve, ip, PORT, backlog=200)
        return f"{ip}:{PORT}"

    def write(self, kind: str, name: str, spec: object) -> dict:
        """Writes an object without a condition, as the operator does."""
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "created": 1, "finalizers": []}
        item = {"metadata": metadata, "spec": spec, "status": {}}
        self.objects[kind, name] = item
        self._notify(kind, item, False)
        return item

    def _notify(self, kind: str, item: dict, deleted: bool) -> None:
        self._events.append((self._revision, kind, {"object": item, "deleted": deleted}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                message = await wire.read_head(reader)
                await wire.read_body(reader, message)
                status, table = await self._answer(message)
                fields = {"Content-Type": "application/json", "Store-Era": "1"}
                body = json.dumps(table).encode()
                writer.write(wire.encode(f"HTTP/1.1 {status} X", fields, body))
                await writer.drain()
        except (wire.EndedError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: wire.Message) -> tuple[int, dict]:
        await asyncio.sleep(SLOW_S if self.trouble == "slow" else ANSWER_S)
        if self.trouble == "silent":
            await self._lose_answer()
        if self.trouble == "busy":
            return 503, {}
        method, target, _ = message.start.split(" ")
        path, _, query = target.partition("?")
        options = dict(item.split("=") for item in query.split("&") if item)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if method != "GET":
            answer = self._change(method, kind, name, options, message.body)
            if self.trouble == "loses":
                await self._lose_answer()
            return answer
        if name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in options:
            return await self._watch(kind, int(options["watch"]), int(options.get("wait_ms", 0)))
        after = options.get("after", "")
        names = sorted(name for of, name in self.objects if of == kind and name > after)
        items = [self.objects[kind, name] for name in names]
        return 200, {"items": items, "more": False, "as_of": self._revision}

    async def _lose_answer(self) -> None:
        while self.trouble in ("silent", "loses"):
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

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, dict]:
        deadline = time.monotonic() + min(wait_ms / 1000, LONGEST_WATCH_S)
        while True:
            found = [event for rev, of, event in self._events if of == kind and rev > since]
            left_s = deadline - time.monotonic()
            if found or left_s <= 0 or self.trouble:
                return 200, {"events": found, "as_of": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.5))
