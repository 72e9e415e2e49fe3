"""Times at which processes, connections or the platform were disturbed, as the checks need them."""

import enum
import math
import threading
import time
from collections.abc import Iterable

import attrs


class Part(enum.StrEnum):
    """What a disturbance concerns."""

    NODE = "node"
    UPSTREAM = "upstream"
    PLATFORM = "platform"
    NETWORK = "network"
    CALLERS = "callers"


class Cause(enum.StrEnum):
    """Kinds of disturbances.

    Attributes:
        STOP: From SIGTERM until the process has ended.
        KILL: From SIGKILL until the process has ended.
        PAUSE: From SIGSTOP until some time after SIGCONT.
        DOWN: From the end of a process until it listens again.
        FAULT: A fault that leaves the processes alone.
    """

    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"
    DOWN = "down"
    FAULT = "fault"


PLANNED = (Cause.STOP, Cause.DOWN)


@attrs.define(eq=False)
class Disturbance:
    """One disturbance; times are CLOCK_MONOTONIC in seconds.

    Attributes:
        part: What it concerns.
        cause: Its kind.
        host: Host of the process; "" for the platform and for faults that concern all hosts.
        start: Time at which it began.
        end: Time at which it was over, infinity before.
        planned: True if it belongs to a planned stop and the restart after it.
    """

    part: Part
    cause: Cause
    host: str
    start: float
    end: float = math.inf
    planned: bool = True

    def overlaps(self, start: float, end: float) -> bool:
        """Returns True if it lasted at any time from `start` to `end`."""
        return self.start <= end and self.end >= start

    def close(self, now: float) -> None:
        """Ends it, unless it has ended before."""
        self.end = min(self.end, now)


class DisturbanceLog:
    """All disturbances of a run; events add to it from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._all: list[Disturbance] = []

    def begin(self, part: Part, cause: Cause, host: str, *, planned: bool = True) -> Disturbance:
        """Adds and returns a disturbance that begins now."""
        added = Disturbance(part, cause, host, time.monotonic(), planned=planned)
        self.add(added)
        return added

    def add(self, disturbance: Disturbance) -> None:
        """Adds a disturbance."""
        with self._lock:
            self._all.append(disturbance)

    def all(self) -> list[Disturbance]:
        """Returns all disturbances in order of their start."""
        with self._lock:
            return sorted(self._all, key=lambda item: item.start)


def calm_since(
    disturbances: Iterable[Disturbance], start: float, end: float, length: float
) -> bool:
    """Returns True if there was no disturbance for `length` seconds between `start` and `end`.

    Args:
        disturbances: Disturbances in order of their start.
        start: Monotonic time in seconds.
        end: Monotonic time in seconds.
        length: Length of the time without disturbances, in seconds.
    """
    calm_from = start
    for item in disturbances:
        if item.start > end:
            break
        if item.start >= calm_from + length:
            return True
        calm_from = max(calm_from, item.end)
    return calm_from + length <= end
