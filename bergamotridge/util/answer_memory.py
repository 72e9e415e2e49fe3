"""Bound on the memory that answers take while they are being read, over all connections."""

import collections
from typing import Protocol

from bergamotridge.util import held_bytes


class Answer(Protocol):
    """An answer that is being read.

    Attributes:
        address: IP:PORT that it comes from.
    """

    address: str

    def give_up(self) -> None:
        """Drops what has been read and ends the connection."""


class AnswerMemory:
    """Keeps the sum of the incomplete answers below a limit; belongs to one event loop.

    Each answer is bounded by itself, and so many may come at once that their sum is not. If it
    exceeds the limit, the largest answer is given up of the address whose answers are largest
    together: answers without end don't take the memory that answers from elsewhere need. The same
    happens if all that the process holds for others exceeds its bound.
    """

    def __init__(self, limit_bytes: int, memory: held_bytes.HeldBytes | None = None) -> None:
        """Starts without answers.

        Args:
            limit_bytes: Bytes that all incomplete answers may hold together.
            memory: Account of all that is held, None for one of the answers alone.
        """
        self._memory = memory or held_bytes.HeldBytes(limit_bytes)
        self._limit_bytes = limit_bytes
        self._sizes: dict[Answer, int] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that the incomplete answers hold."""
        return self._held_bytes

    def hold(self, answer: Answer, size: int) -> None:
        """Notes that an incomplete answer holds `size` bytes now."""
        more = size - self._sizes.get(answer, 0)
        self._held_bytes += more
        self._sizes[answer] = size
        fits = self._memory.change_answers(more)
        while self._sizes and not (fits and self._held_bytes <= self._limit_bytes):
            largest = self._largest_of_greediest_address()
            self.release(largest)
            largest.give_up()
            fits = self._memory.has_room

    def release(self, answer: Answer) -> None:
        """Notes that an answer is complete or given up."""
        size = self._sizes.pop(answer, 0)
        if size:
            self._held_bytes -= size
            self._memory.change_answers(-size)

    def _largest_of_greediest_address(self) -> Answer:
        by_address: dict[str, int] = collections.defaultdict(int)
        for answer, size in self._sizes.items():
            by_address[answer.address] += size
        greediest = max(by_address, key=by_address.__getitem__)
        candidates = [answer for answer in self._sizes if answer.address == greediest]
        return max(candidates, key=self._sizes.__getitem__)
