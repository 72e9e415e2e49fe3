"""What stand-ins saw in one run: attempts of clients, runs at servers, and what happened around."""

import itertools
import time
import weakref

import attrs

from soak.machines import access


@attrs.define
class Attempt:
    """One request as its client saw it; times in seconds since the start, None before they are.

    Attributes:
        by: Kind of the client, or the calling server.
        machine: Number of the machine on which the request began.
        sent: When the last byte was sent.
        status: Status of the answer, 0 without a whole answer.
        end: ``answer``, ``closed``, ``reset``, ``timeout``, ``refused`` (no connection),
            ``gave up`` (the calling server ended), ``torn`` (reset from outside).
        got: Bytes of the answer that came.
        alone: False if other requests were sent on the connection before its answer.
        reused: True if another request was answered on its connection before.
        accepted: True once the node's process was seen to have accepted its connection.
        looked: When the kernel was last asked what the node has read, see `kernel`.
        last_byte: Place of its last byte on the connection, counted from 1.
        taken: When the node was first seen to have read the last byte.
        timeout_s: Timeout of the route.
        key: Key that was sent; empty on a public route.
        reads_slowly: True if its client pauses while it reads.
        head_at: When the head of the answer had come.
    """

    id: str
    by: str
    machine: int
    service: str
    method: str
    path: str
    digest: str
    safe: bool
    connected: float | None = None
    began: float | None = None
    sent: float | None = None
    ended: float | None = None
    status: int = 0
    end: str = ""
    got: int = 0
    whole: bool = False
    sealed: bool = False
    alone: bool = True
    reused: bool = False
    accepted: bool = False
    looked: float | None = None
    last_byte: int = 0
    taken: float | None = None
    timeout_s: float = 7.0
    text: str = ""
    key: str = ""
    reads_slowly: bool = False
    head_at: float | None = None


@attrs.define
class Run:
    """One request as a server saw it.

    Attributes:
        status: Status of the answer, 0 until it is answered, -1 if it was cut.
        digest: Digest of the body; empty if the server had answered before it read that.
        fault: What the server does to its answer, see `server_faults`; empty if it is sound.
        team: Team that the node named; empty if none.
        key: Key that came with it, which should have stayed at the node.
    """

    id: str
    server: str
    machine: int
    at: float
    method: str
    path: str
    digest: str
    caller_service: str
    service: str = ""
    host: str = ""
    ended: float | None = None
    status: int = 0
    fault: str = ""
    team: str = ""
    key: str = ""


@attrs.frozen
class Configuration:
    """A configuration with the time of its confirmation."""

    at: float
    version: int
    held: access.Access


@attrs.frozen
class Happening:
    """What was done to a machine, or happened on it; machine 0 is the store or the fleet."""

    at: float
    what: str
    machine: int = 0
    detail: str = ""


class Record:
    """Everything seen in one run."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.runs: list[Run] = []
        self.happenings: list[Happening] = []
        self.configurations: list[Configuration] = []
        self.stalls: list[tuple[float, float]] = []  # When the stand-ins themselves stood still.
        self.connections: weakref.WeakSet = weakref.WeakSet()  # Of all clients.
        self._numbers = itertools.count(1)
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the time since the start in seconds."""
        return round(time.monotonic() - self._start, 4)

    def next_id(self) -> str:
        """Returns an id for a request that no other request has."""
        return f"{next(self._numbers):08x}{time.monotonic_ns() & 0xFFFFFFFF:08x}"

    def happen(self, what: str, machine: int = 0, detail: str = "") -> float:
        """Adds a happening and returns its time."""
        self.happenings.append(Happening(self.now(), what, machine, detail))
        return self.happenings[-1].at

    def stood_still(self, begin: float, end: float) -> bool:
        """Returns True if the stand-ins stood still at some time from `begin` to `end`."""
        return any(first <= end and last >= begin for first, last in self.stalls)

    def sum_stalls_s(self, begin: float, end: float) -> float:
        """Returns for how many seconds from `begin` to `end` the stand-ins stood still."""
        return sum(max(0.0, min(last, end) - max(first, begin)) for first, last in self.stalls)

    def to_lines(self) -> list[str]:
        """Returns everything in the order of its time."""
        rows = [(item.began or item.ended or 0.0, f"attempt {item}") for item in self.attempts]
        rows += [(item.at, f"run {item}") for item in self.runs]
        rows += [(item.at, f"{item}") for item in self.happenings]
        rows += [(begin, f"stand-ins stand still until {end}") for begin, end in self.stalls]
        return [f"{at:9.4f} {text}" for at, text in sorted(rows)]
