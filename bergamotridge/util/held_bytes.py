"""One account of the bytes that a process holds for others, with one bound for all of them."""

import enum
import time
from collections.abc import Callable, Iterable
from typing import Protocol

LIMIT_BYTES = 134_217_728
SMALL_BYTES = 131_072
# Of the bound: what the bodies of requests may take of it. The rest is for answers and responses.
# Small bodies may take more than the others, so that long ones can't keep them out.
LONG_REQUESTS_PART = (2, 3)
SMALL_REQUESTS_PART = (3, 4)
# A reader that began later has had no time to show how fast it is.
MIN_READING_S = 1.0


class Kind(enum.Enum):
    """What bytes are held for."""

    REQUESTS = "requests"
    ANSWERS = "answers"
    RESPONSES = "responses"


class Reader(Protocol):
    """A client that has not taken its response yet.

    Attributes:
        started_at: Monotonic time in seconds at which the response was written.
    """

    started_at: float

    def bytes_per_s(self, now: float) -> float:
        """Returns how fast the client has taken its response until `now`."""

    def give_up(self) -> None:
        """Drops the rest of the response and closes the connection."""


def find_slowest(readers: Iterable[Reader], now: float) -> Reader | None:
    """Returns the reader that takes its response most slowly, None if there is none.

    One that began within `MIN_READING_S` is chosen only if there are no others.

    Args:
        readers: The readers to choose from.
        now: Monotonic time in seconds.
    """
    return min(
        readers,
        key=lambda reader: (now - reader.started_at < MIN_READING_S, reader.bytes_per_s(now)),
        default=None,
    )


class HeldBytes:
    """The account; belongs to one event loop.

    Bodies of requests are reserved before they are read and refused if they don't fit. Answers that
    are being read, and responses whose clients take them slowly, are noted as they grow. Where room
    is missing, the slowest readers lose their responses first.
    """

    def __init__(
        self, limit_bytes: int = LIMIT_BYTES, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Starts with nothing held.

        Args:
            limit_bytes: Bytes that may be held together.
            read_clock: Returns the monotonic time in seconds.
        """
        self._limit_bytes = limit_bytes
        self._long_requests_bytes = _part_of(limit_bytes, LONG_REQUESTS_PART)
        self._small_requests_bytes = _part_of(limit_bytes, SMALL_REQUESTS_PART)
        self._read_clock = read_clock
        self._requests_bytes = 0
        self._answers_bytes = 0
        self._responses_bytes = 0
        self._readers: dict[Reader, int] = {}

    @property
    def limit_bytes(self) -> int:
        """Bytes that may be held together."""
        return self._limit_bytes

    @property
    def total_bytes(self) -> int:
        """Bytes that are held."""
        return self._requests_bytes + self._answers_bytes + self._responses_bytes

    @property
    def has_room(self) -> bool:
        """False while more is held than may be."""
        return self.total_bytes <= self._limit_bytes

    def count_by_kind(self) -> dict[Kind, int]:
        """Returns the bytes that are held, by what they are held for."""
        return {
            Kind.REQUESTS: self._requests_bytes,
            Kind.ANSWERS: self._answers_bytes,
            Kind.RESPONSES: self._responses_bytes,
        }

    def reserve_request(self, before: int, after: int) -> bool:
        """Changes what is reserved for one request; returns False, without a change, if it can't.

        Args:
            before: Bytes that are reserved for it so far.
            after: Bytes that it needs now.
        """
        more, is_small = after - before, after <= SMALL_BYTES
        limit = self._small_requests_bytes if is_small else self._long_requests_bytes
        if more > 0 and not (self._requests_bytes + more <= limit and self._make_room(more)):
            return False
        self._requests_bytes += more
        return True

    def release_request(self, size: int) -> None:
        """Notes that `size` bytes reserved for requests are free again."""
        self._requests_bytes -= size

    def change_answers(self, more: int) -> bool:
        """Notes that answers being read hold `more` bytes; returns whether all that is held fits.

        Args:
            more: Bytes that came, or less than 0 for those that are free again. If bytes came and
                there is no room, readers are given up first.
        """
        self._answers_bytes += more
        return more <= 0 or self._give_up_readers(list(self._readers), self._limit_bytes)

    def hold_response(self, reader: Reader, size: int) -> None:
        """Notes that a client is to take a response of `size` bytes; may give up any reader."""
        self._readers[reader] = size
        self._responses_bytes += size
        self._give_up_readers(list(self._readers), self._limit_bytes)

    def release_response(self, reader: Reader) -> None:
        """Notes that a response was taken or given up."""
        self._responses_bytes -= self._readers.pop(reader, 0)

    def _make_room(self, size: int) -> bool:
        """Returns whether `size` more bytes fit; gives up slow readers only if that suffices."""
        target = self._limit_bytes - size
        if self.total_bytes <= target:
            return True
        latest = self._read_clock() - MIN_READING_S
        slow = [reader for reader in self._readers if reader.started_at <= latest]
        if self.total_bytes - sum(self._readers[reader] for reader in slow) > target:
            return False
        return self._give_up_readers(slow, target)

    def _give_up_readers(self, readers: list[Reader], target: int) -> bool:
        """Gives up the slowest readers until no more than `target` is held; returns whether so."""
        while readers and self.total_bytes > target:
            slowest = find_slowest(readers, self._read_clock())
            readers.remove(slowest)
            self.release_response(slowest)
            slowest.give_up()
        return self.total_bytes <= target


def _part_of(size: int, part: tuple[int, int]) -> int:
    numerator, denominator = part
    return size * numerator // denominator
