"""The platform's metadata store, in memory, with the drill of the users' news page."""

import asyncio
import contextlib
import json
import time

import wire

ANSWER_S = 0.004
MAX_WAIT_S = 30.0
FIRST_REVISION = 10


class Store:
    """All objects with their history; `is_away` leaves every call without an answer."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.era = 0
        self.is_away = False
        self._revision = FIRST_REVISION
        self._oldest = FIRST_REVISION
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Listens on an address."""
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self) -> None:
        """Stops to listen, and ends all connections."""
        self.go_away()
        if self._server is not None:
            self._server.close()

    def copy(self) -> tuple[int, dict]:
        """Returns a copy of all objects, to come back from."""
        return self._revision, json.loads(
            json.dumps([[*key, item] for key, item in self.objects.items()])
        )

    def go_away(self) -> None:
        """Ends all connections and answers nothing until `come_back`."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, copy: tuple[int, dict] | None) -> None:
        """Answers again; from a copy, everything that was written since it is lost."""
        if copy is not None:
            self._revision, rows = copy
            self.objects = {(kind, name): item for kind, name, item in rows}
            self._events = [event for event in self._events if event[0] <= self._revision]
            self.era += 1
        self.is_away = False
        self._wake()

    def write(self, kind: str, name: str, spec: object) -> dict:
        """Writes an object without a condition, as the operator does."""
        self._revision += 1
        old = self.objects.get((kind, name))
        item = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": old["metadata"]["created"] if old else self._revision,
                "finalizers": [],
            },
            "spec": spec,
            "status": {},
        }
        self.objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def _note(self, kind: str, item: dict, deleted: bool) -> None:
        self._events.append((self._revision, kind, {"object": item, "deleted": deleted}))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                start, fields = await wire.read_head(reader)
                body = await wire.read_body(reader, fields)
                await asyncio.sleep(ANSWER_S)
                status, table = await self._answer(start, body)
                if self.is_away:
                    return
                answer = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                writer.write(
                    wire.encode(f"HTTP/1.1 {status} X", answer, json.dumps(table).encode())
                )
                await writer.drain()
        except (wire.EndedError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, start: str, body: bytes) -> tuple[int, dict]:
        method, target, _ = start.split(" ")
        path, _, query = target.partition("?")
        options = dict(item.split("=") for item in query.split("&") if item)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if method != "GET":
            return self._change(method, kind, name, options, json.loads(body) if body else {})
        if name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in options:
            return await self._watch(
                kind, int(options["watch"]), int(options.get("wait_ms", 0)) / 1000
            )
        after = options.get("after", "")
        names = sorted(name for of, name in self.objects if of == kind and name > after)
        items = [self.objects[kind, name] for name in names]
        return 200, {"items": items, "more": False, "as_of": self._revision}

    def _change(
        self, method: str, kind: str, name: str, options: dict, value: dict
    ) -> tuple[int, dict]:
        name = name or value["metadata"]["name"]
        current = self.objects.get((kind, name))
        if method == "POST":
            return (409, current) if current else (201, self.write(kind, name, value["spec"]))
        if current is None:
            return 404, {}
        asked = value.get("metadata", {}).get("revision") or int(options.get("revision", 0))
        if asked and asked != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            self._revision += 1
            del self.objects[kind, name]
            self._note(kind, current, True)
            return 200, current
        same = current["spec"] == value["spec"]
        return 200, current if same else self.write(kind, name, value["spec"])

    async def _watch(self, kind: str, since: int, wait_s: float) -> tuple[int, dict]:
        deadline, era = time.monotonic() + min(wait_s, MAX_WAIT_S), self.era
        while True:
            if era != self.era or not self._oldest <= since <= self._revision:
                return 410, {}
            found = [
                event for revision, of, event in self._events if of == kind and revision > since
            ]
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "as_of": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
