"""The platform's metadata store on the wire, in virtual time: restorations, late writes."""

import copy
import json
import random
import urllib.parse

import attrs

from bergamotridge import errors
from bergamotridge.store import client


@attrs.define
class _Snapshot:
    """What the store held from a time on."""

    at: float
    revision: int
    objects: dict


class WireStore:
    """All objects, with the counter of revisions and the number of the store's life."""

    def __init__(self) -> None:
        self.now = 0.0
        self.revision = 10
        self.era = 1
        self.down = False
        self.objects: dict[tuple[str, str], dict] = {}
        self._events: list[tuple[int, str, dict]] = []
        self.requests: list[tuple[str, str]] = []
        self._oldest_event = 0
        self._snapshots = [_Snapshot(0.0, self.revision, {})]

    def restore(self, seconds: float) -> None:
        """Comes back as it was some seconds ago; revisions since then are given out again."""
        kept = [item for item in self._snapshots if item.at <= self.now - seconds]
        copied = (kept or self._snapshots[:1])[-1]
        self.objects = copy.deepcopy(copied.objects)
        self.revision = copied.revision
        self._snapshots = [item for item in self._snapshots if item.at <= copied.at]
        self._events = [item for item in self._events if item[0] <= self.revision]
        self.era += 1

    def compact(self) -> None:
        """Forgets the history of changes."""
        self._events, self._oldest_event = [], self.revision

    def write(self, kind: str, name: str, spec: object) -> None:
        """Writes an object without a condition, as the operator does."""
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[kind, name] = item
        self._record(kind, {"object": item, "deleted": False})

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object; its event holds the object with the revision of its last write."""
        self.revision += 1
        self._record(kind, {"object": self.objects.pop((kind, name)), "deleted": True})

    def _record(self, kind: str, event: dict) -> None:
        self._events.append((self.revision, kind, event))
        self._snapshots.append(_Snapshot(self.now, self.revision, dict(self.objects)))

    def answer(self, method: str, path: str, body: bytes | None) -> client.Reply:
        """Answers one request at once; a watch doesn't wait."""
        self.requests.append((method, path))
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, *name = url.path.removeprefix("/objects/").split("/")
        if method != "GET":
            table = json.loads(body)
            return self._reply(*self._write(method, kind, table["metadata"], table["spec"]))
        if name:
            item = self.objects.get((kind, name[0]))
            return self._reply(200, item) if item else self._reply(404, {})
        if "watch" in query:
            return self._watch(kind, int(query["watch"]))
        items = [item for (of, _), item in self.objects.items() if of == kind]
        return self._reply(200, {"items": items, "more": False, "as_of": self.revision})

    def _watch(self, kind: str, since: int) -> client.Reply:
        if not self._oldest_event <= since <= self.revision:
            return self._reply(410, {"as_of": self.revision})
        events = [event for revision, of, event in self._events if of == kind and revision > since]
        return self._reply(200, {"events": events, "as_of": self.revision})

    def _write(self, method: str, kind: str, metadata: dict, spec: object) -> tuple[int, dict]:
        current = self.objects.get((kind, metadata["name"]))
        revision = current["metadata"]["revision"] if current else 0
        if revision != (metadata.get("revision", 0) if method == "PUT" else 0):
            return 409, current or {"metadata": {}}
        self.write(kind, metadata["name"], spec)
        return 200, self.objects[kind, metadata["name"]]

    def _reply(self, status: int, table: dict) -> client.Reply:
        return client.Reply(status, json.dumps(table).encode(), {"store-era": str(self.era)})


class WireTransport:
    """One host's connection to the store, with its faults; stands in for `client.Transport`.

    Attributes:
        cut: True while nothing passes.
        while_answering: Called between an answer and its arrival.
    """

    timeout_s = 2.0

    def __init__(self, store: WireStore, rng: random.Random, while_answering) -> None:
        self.cut = False
        self.loss = 0.0
        self.while_answering = while_answering
        self._store = store
        self._rng = rng
        self._held: list[tuple[str, str, bytes]] = []

    def perform(self, method, path, body=None, timeout_s=None) -> client.Reply:
        if self.cut or self._store.down:
            raise errors.PlatformUnavailableError("no answer")
        if method != "GET" and self._rng.random() < self.loss:
            if self._rng.random() < 0.5:
                self._store.answer(method, path, body)
            else:
                self._held.append((method, path, body))
            raise errors.PlatformUnavailableError("answer lost")
        reply = self._store.answer(method, path, body)
        self.while_answering()
        return reply

    def deliver_late_writes(self) -> None:
        """Carries out the writes that are under way, if their condition still holds."""
        held, self._held = self._held, []
        for method, path, body in held:
            self._store.answer(method, path, body)
