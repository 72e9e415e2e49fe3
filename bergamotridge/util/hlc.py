"""Hybrid logical clock (Kulkarni et al., 2014): timestamps that respect causality across hosts."""

import functools
import threading

import attrs

from bergamotridge.util import fields

MAX_COUNTER = 2**53


@functools.total_ordering
@attrs.frozen(eq=True, order=False)
class Stamp:
    """A timestamp; timestamps of causally related events sort in causal order.

    Attributes:
        millis: Wall-clock time in milliseconds.
        counter: Orders timestamps of the same millisecond.
        host: The host that issued the timestamp; breaks ties between hosts.
    """

    millis: int
    counter: int
    host: str

    def __lt__(self, other: "Stamp") -> bool:
        return (self.millis, self.counter, self.host) < (other.millis, other.counter, other.host)

    def __str__(self) -> str:
        return f"{self.millis}.{self.counter}@{self.host}"


def parse(text: str) -> Stamp:
    """Parses the output of `str(stamp)`; raises ValueError if `text` has another form."""
    clock, _, host = text.partition("@")
    millis, _, counter = clock.partition(".")
    return received(int(millis), int(counter), host)


def received(millis: object, counter: object, host: str) -> Stamp:
    """Returns a stamp that another process sent.

    A clock never goes back, so it would keep a time that is far too late, and pass it on.

    Raises:
        ValueError: The time or the counter is not a whole number, or out of range.
    """
    if type(millis) is not int or type(counter) is not int:
        raise ValueError("the milliseconds and the counter of a time stamp must be integers")
    if not (0 <= millis <= fields.MAX_START_MS and 0 <= counter <= MAX_COUNTER):
        raise ValueError("the milliseconds or the counter of a time stamp are out of range")
    return Stamp(millis, counter, host)


class HybridClock:
    """Issues the timestamps of one host; call `observe` with the stamp of each received message."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._millis = 0
        self._counter = 0

    def stamp(self, now_ms: int) -> Stamp:
        """Returns a stamp later than all issued or observed so far; `now_ms` is wall-clock time."""
        with self._lock:
            if now_ms > self._millis:
                self._millis, self._counter = now_ms, 0
            else:
                self._counter += 1
            return Stamp(self._millis, self._counter, self._host)

    def observe(self, other: Stamp) -> None:
        """Advances the clock to `other` if it is behind, so that later stamps sort after it."""
        with self._lock:
            if (other.millis, other.counter) > (self._millis, self._counter):
                self._millis, self._counter = other.millis, other.counter
