"""Answers kept for repeats of calls that run at most once, bounded in bytes."""

import collections
import threading

import attrs

ANSWER_BYTES = 65_536
TOTAL_BYTES = 16_777_216
ENTRY_BYTES = 512  # Of a kept answer besides its body and header fields.


@attrs.frozen
class StoredAnswer:
    """The whole answer of a finished call, kept for repeats."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Bytes that it takes, about."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return ENTRY_BYTES + fields + len(self.body)


class AnswerMemory:
    """Keeps the latest answers, by key; safe to share between threads.

    An answer that has given way to later ones is gone, though the claim remains: a repeat learns
    that the call ran, but not its answer.
    """

    def __init__(self, total_bytes: int = TOTAL_BYTES) -> None:
        """Creates an empty memory of at most `total_bytes`."""
        self._total_bytes = total_bytes
        self._lock = threading.Lock()
        self._kept: collections.OrderedDict[object, StoredAnswer] = collections.OrderedDict()
        self._bytes = 0

    def put(self, key: object, answer: StoredAnswer) -> None:
        """Keeps an answer unless it is too large by itself."""
        if len(answer.body) > ANSWER_BYTES:
            return
        with self._lock:
            self._forget(key)
            self._kept[key] = answer
            self._bytes += answer.size
            while self._bytes > self._total_bytes:
                self._forget(next(iter(self._kept)))

    def get(self, key: object) -> StoredAnswer | None:
        """Returns the answer of a key, or None."""
        with self._lock:
            return self._kept.get(key)

    def forget(self, key: object) -> None:
        """Drops the answer of a key."""
        with self._lock:
            self._forget(key)

    def _forget(self, key: object) -> None:
        answer = self._kept.pop(key, None)
        if answer is not None:
            self._bytes -= answer.size
