"""Stand-in for the hosting platform: its object store API over HTTP, with fault injection.

Run ``python -m standins.platform --address 127.0.0.1:9000``. The object API is described in
docs/internals.md. Three more requests control the stand-in and also work during an injected outage:

* ``POST /faults`` takes a JSON object with any of the fields of `Faults` and returns all of them.
* ``POST /restore`` takes ``{"version": N}`` and brings the objects back as of that version.
* ``GET /statistics`` returns the number of writes, reads and watches; a watch counts once
  however long it waits.
"""

import json
import os
import threading
import time

import attrs
from absl import app, flags

from standins import serving, store

EPOCH_HEADER = "Store-Epoch"
MAX_VALUE_BYTES = 1_048_576
NO_VERSION = -1  # Matches no object.


@attrs.define
class Faults:
    """Injected faults.

    Attributes:
        outage: All requests of the object API get status 503.
        delay_ms: Milliseconds by which each response is delayed.
        lose_answers: Number of coming writes that take effect but get no response.
        stale_reads: Reads and watches return the objects as they were when this was set.
        stale_version: Reads and watches return the objects as of this version, None for the
            current ones.
        odd_items: JSON values that stand in each listing and watch besides the objects.
    """

    outage: bool = False
    delay_ms: float = 0
    lose_answers: int = 0
    stale_reads: bool = False
    stale_version: int | None = None
    odd_items: list[object] = attrs.field(factory=list)


@attrs.define
class Statistics:
    """Number of requests since the start, including refused ones."""

    writes: int = 0
    reads: int = 0
    watches: int = 0


class Platform:
    """The object store, the injected faults and the request counts."""

    def __init__(self, objects: store.Store | None = None) -> None:
        self.store = objects or store.Store()
        self.faults = Faults()
        self.statistics = Statistics()
        self._lock = threading.Lock()

    def change_faults(self, changes: dict) -> Faults:
        """Sets the given faults and returns all; raises TypeError on an unknown field."""
        with self._lock:
            if "stale_reads" in changes:
                changes["stale_version"] = self.store.version if changes["stale_reads"] else None
            self.faults = attrs.evolve(self.faults, **changes)
            self.store.read_as_of(self.faults.stale_version)
            self.store.wake_watches()
            return self.faults

    def count(self, name: str) -> None:
        """Counts one request under `name`, a field of `Statistics`."""
        with self._lock:
            setattr(self.statistics, name, getattr(self.statistics, name) + 1)

    def consume_lost_answer(self) -> bool:
        """Returns True, and decrements the fault, if this write must get no response."""
        with self._lock:
            if self.faults.lose_answers <= 0:
                return False
            self.faults.lose_answers -= 1
            return True


class Handler(serving.Handler):
    """Handles the requests of one connection to the platform."""

    platform: Platform

    def do_GET(self) -> None:  # noqa: N802
        """Handles reads, lists, watches and the statistics."""
        match self.route:
            case ["statistics"]:
                self.answer_json(200, attrs.asdict(self.platform.statistics))
            case ["objects", kind, name]:
                self._count_and_run("reads", lambda: self._get(kind, name))
            case ["objects", kind]:
                listing = self.platform.store.list
                self._count_and_run("reads", lambda: self._answer_listing(listing(kind)))
            case ["watch", kind]:
                self._count_and_run("watches", lambda: self._watch(kind))
            case _:
                self.answer_json(404, {"error": "no such path"})

    def do_PUT(self) -> None:  # noqa: N802
        """Handles conditional writes."""
        body = self.read_body()
        match self.route:
            case ["objects", kind, name]:
                self._count_and_run("writes", lambda: self._put(kind, name, body))
            case _:
                self.answer_json(404, {"error": "no such path"})

    def do_DELETE(self) -> None:  # noqa: N802
        """Handles conditional deletes."""
        match self.route:
            case ["objects", kind, name]:
                self._count_and_run("writes", lambda: self._delete(kind, name))
            case _:
                self.answer_json(404, {"error": "no such path"})

    def do_POST(self) -> None:  # noqa: N802
        """Changes the injected faults, or restores the store."""
        body = self.read_body()
        if self.route == ["restore"]:
            self.platform.store.restore(int(json.loads(body)["version"]))
            self.answer_json(200, {"epoch": self.platform.store.epoch})
            return
        if self.route != ["faults"]:
            self.answer_json(404, {"error": "no such path"})
            return
        try:
            faults = self.platform.change_faults(json.loads(body))
        except (TypeError, ValueError) as error:
            self.answer_json(400, {"error": str(error)})
            return
        self.answer_json(200, attrs.asdict(faults))

    def answer_json(self, status: int, value: object) -> None:
        """Sends a JSON response that names the epoch of the store."""
        epoch = str(self.platform.store.epoch)
        headers = {"Content-Type": "application/json", EPOCH_HEADER: epoch}
        self.answer(status, json.dumps(value).encode(), headers)

    def _count_and_run(self, name: str, request) -> None:
        self.platform.count(name)
        time.sleep(self.platform.faults.delay_ms / 1000)
        if self.platform.faults.outage:
            self._answer_outage()
            return
        try:
            request()
        except ValueError as error:
            self.answer_json(400, {"error": str(error)})

    def _answer_outage(self) -> None:
        self.answer_json(503, {"error": "outage"})

    def _get(self, kind: str, name: str) -> None:
        item = self.platform.store.get(kind, name)
        if item is None:
            self.answer_json(404, {"error": "no such object"})
        else:
            self.answer_json(200, attrs.asdict(item))

    def _answer_listing(self, listing: store.Listing) -> None:
        table = attrs.asdict(listing)
        table["items"] += self.platform.faults.odd_items
        self.answer_json(200, table)

    def _watch(self, kind: str) -> None:
        since, wait_s = int(self.query.get("since", "0")), float(self.query.get("wait_s", "0"))
        platform, epoch = self.platform, int(self.query.get("epoch", self.platform.store.epoch))

        def is_gone() -> bool:
            return platform.store.epoch != epoch or since > platform.store.version

        listing = None
        if not is_gone():
            listing = platform.store.watch(
                kind, since, wait_s, lambda: platform.faults.outage or is_gone()
            )
        if platform.faults.outage:
            self._answer_outage()
        elif listing is None or platform.store.epoch != epoch:
            self.answer_json(410, {"version": platform.store.version})
        else:
            self._answer_listing(listing)

    def _put(self, kind: str, name: str, body: bytes) -> None:
        if len(body) > MAX_VALUE_BYTES:
            self.answer_json(
                413, {"error": f"value too large; store at most {MAX_VALUE_BYTES} bytes"}
            )
            return
        version, value = self._parse_version(), json.loads(body)
        if value is None:
            raise ValueError("a value of null cannot be stored; delete the object instead")
        self._answer_write(lambda: self.platform.store.put(kind, name, version, value))

    def _delete(self, kind: str, name: str) -> None:
        version = self._parse_version()
        self._answer_write(lambda: self.platform.store.delete(kind, name, version))

    def _parse_version(self) -> int:
        if "version" not in self.query:
            raise ValueError("the query has no version; add version=N, 0 for a new object")
        epoch = self.platform.store.epoch
        if int(self.query.get("epoch", epoch)) != epoch:
            return NO_VERSION
        return int(self.query["version"])

    def _answer_write(self, write) -> None:
        try:
            version = write()
        except KeyError:
            self.answer_json(404, {"error": "no such object"})
        except store.VersionConflict as conflict:
            self.answer_json(409, {"version": conflict.version})
        else:
            if self.platform.consume_lost_answer():
                self.cut_connection()
            else:
                self.answer_json(200, {"version": version})


def start(address: str, objects: store.Store | None = None) -> serving.Server:
    """Starts a platform that listens on `address`, in threads of this process.

    Args:
        address: IP:PORT to listen on.
        objects: The objects that it serves; if None, there are none at first.
    """
    handler = type("BoundHandler", (Handler,), {"platform": Platform(objects)})
    server = serving.Server(address, handler)
    server.start()
    return server


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_string("address", "127.0.0.1:9000", "IP:PORT to listen on")
    flags.DEFINE_string(
        "journal", os.devnull, "file from which all objects are read, and that keeps all changes"
    )


def main(_: list[str]) -> None:
    """Serves until SIGTERM."""
    stop_signal = serving.StopSignal()
    with open(flags.FLAGS.journal, "a+", buffering=1, encoding="utf-8") as journal:
        journal.seek(0)
        text = journal.read()
        changes = store.read_journal(text)
        if text:
            # The text is ASCII, one byte for each character.
            journal.truncate(text.rfind("\n") + 1)
        server = start(flags.FLAGS.address, store.Store(changes, journal))
        stop_signal.wait()
        server.server_close()


if __name__ == "__main__":
    define_flags()
    app.run(main)
