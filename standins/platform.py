"""Stand-in for the platform: its object API over HTTP, with faults that can be switched on.

Run ``python -m standins.platform --address 127.0.0.1:9000``. The object API is described in
docs/internals.md. Two more requests steer the stand-in and are answered in an outage too:

* ``POST /faults`` takes a JSON object with any of the fields of `Faults` and answers with all of
  them.
* ``GET /statistics`` answers with counts of writes, reads and watches; a watch counts once
  however long it waits.
"""

import json
import threading
import time

import attrs
from absl import app, flags

from standins import serving, store

LARGEST_VALUE_BYTES = 1_048_576


@attrs.define
class Faults:
    """Faults in force.

    Attributes:
        outage: Everything is answered with 503.
        delay_ms: Milliseconds by which each answer is late.
        lose_answers: The next writes take effect but get no answer.
        stale_reads: Reads and watches answer as of the moment when this was switched on.
        stale_version: Reads and watches answer as of this version, None for as things are.
    """

    outage: bool = False
    delay_ms: float = 0
    lose_answers: int = 0
    stale_reads: bool = False
    stale_version: int | None = None


@attrs.define
class Statistics:
    """Counts of requests since the start, refused ones included."""

    writes: int = 0
    reads: int = 0
    watches: int = 0


class Platform:
    """The store, the faults in force and the counts."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.faults = Faults()
        self.statistics = Statistics()
        self._lock = threading.Lock()

    def change_faults(self, changes: dict) -> Faults:
        """Puts changed faults in force; raises TypeError on an unknown one."""
        with self._lock:
            if "stale_reads" in changes:
                changes["stale_version"] = self.store.version if changes["stale_reads"] else None
            self.faults = attrs.evolve(self.faults, **changes)
            self.store.read_as_of(self.faults.stale_version)
            self.store.wake()
            return self.faults

    def count(self, name: str) -> None:
        """Counts one request."""
        with self._lock:
            setattr(self.statistics, name, getattr(self.statistics, name) + 1)

    def take_lost_answer(self) -> bool:
        """Returns True if the answer of the present write is to be lost."""
        with self._lock:
            if self.faults.lose_answers <= 0:
                return False
            self.faults.lose_answers -= 1
            return True


class Handler(serving.Handler):
    """One connection to the platform."""

    platform: Platform

    def do_GET(self) -> None:  # noqa: N802
        """Reads, lists and watches."""
        match self.route:
            case ["statistics"]:
                self.answer_json(200, attrs.asdict(self.platform.statistics))
            case ["objects", kind, name]:
                self._counted("reads", lambda: self._get(kind, name))
            case ["objects", kind]:
                listing = self.platform.store.list
                self._counted("reads", lambda: self._answer_listing(listing(kind)))
            case ["watch", kind]:
                self._counted("watches", lambda: self._watch(kind))
            case _:
                self.answer_json(404, {"error": "no such path"})

    def do_PUT(self) -> None:  # noqa: N802
        """Writes under a condition."""
        body = self.read_body()
        match self.route:
            case ["objects", kind, name]:
                self._counted("writes", lambda: self._put(kind, name, body))
            case _:
                self.answer_json(404, {"error": "no such path"})

    def do_DELETE(self) -> None:  # noqa: N802
        """Deletes under a condition."""
        match self.route:
            case ["objects", kind, name]:
                self._counted("writes", lambda: self._delete(kind, name))
            case _:
                self.answer_json(404, {"error": "no such path"})

    def do_POST(self) -> None:  # noqa: N802
        """Changes the faults in force."""
        body = self.read_body()
        if self.route != ["faults"]:
            self.answer_json(404, {"error": "no such path"})
            return
        try:
            faults = self.platform.change_faults(json.loads(body))
        except (TypeError, ValueError) as error:
            self.answer_json(400, {"error": str(error)})
            return
        self.answer_json(200, attrs.asdict(faults))

    def _counted(self, name: str, request) -> None:
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
        self.answer_json(200, attrs.asdict(listing))

    def _watch(self, kind: str) -> None:
        since, wait_s = int(self.query.get("since", "0")), float(self.query.get("wait_s", "0"))
        platform = self.platform
        listing = platform.store.watch(kind, since, wait_s, lambda: platform.faults.outage)
        if platform.faults.outage:
            self._answer_outage()
        else:
            self._answer_listing(listing)

    def _put(self, kind: str, name: str, body: bytes) -> None:
        if len(body) > LARGEST_VALUE_BYTES:
            self.answer_json(413, {"error": f"values hold up to {LARGEST_VALUE_BYTES} bytes"})
            return
        version, value = self._version(), json.loads(body)
        if value is None:
            raise ValueError("a value of null is not kept")
        self._change(lambda: self.platform.store.put(kind, name, version, value))

    def _delete(self, kind: str, name: str) -> None:
        version = self._version()
        self._change(lambda: self.platform.store.delete(kind, name, version))

    def _version(self) -> int:
        if "version" not in self.query:
            raise ValueError("the query has no version")
        return int(self.query["version"])

    def _change(self, change) -> None:
        try:
            version = change()
        except KeyError:
            self.answer_json(404, {"error": "no such object"})
        except store.VersionConflict as conflict:
            self.answer_json(409, {"version": conflict.version})
        else:
            if self.platform.take_lost_answer():
                self.cut_connection()
            else:
                self.answer_json(200, {"version": version})


def start(address: str) -> serving.Server:
    """Starts a platform at `address` on threads of this process."""
    handler = type("BoundHandler", (Handler,), {"platform": Platform()})
    server = serving.Server(address, handler)
    server.start()
    return server


def define_flags() -> None:
    """Defines the flags of the command line."""
    flags.DEFINE_string("address", "127.0.0.1:9000", "IP:PORT to listen on")


def main(_: list[str]) -> None:
    """Serves until SIGTERM."""
    server = start(flags.FLAGS.address)
    serving.wait_for_stop()
    server.server_close()


if __name__ == "__main__":
    define_flags()
    app.run(main)
