"""Cache, bounded in bytes, of the responses to calls that run at most once."""

import collections
import threading

import attrs

MAX_BODY_BYTES = 65_536
MAX_TOTAL_BYTES = 16_777_216
ENTRY_OVERHEAD_BYTES = 512  # Per stored answer, besides its body and header fields.


@attrs.frozen
class StoredAnswer:
    """The complete response to a finished call, stored to answer repeats of the call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Approximate memory that this answer takes, in bytes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return ENTRY_OVERHEAD_BYTES + fields + len(self.body)


class AnswerCache:
    """Stores the latest answers by key and evicts the oldest first; thread-safe.

    The claim of a call outlives the eviction of its answer: the error for a repeat then says
    that the call ended and that no answer to it is stored.
    """

    def __init__(self, max_total_bytes: int = MAX_TOTAL_BYTES) -> None:
        """Creates an empty cache that holds at most `max_total_bytes`."""
        self._max_total_bytes = max_total_bytes
        self._lock = threading.Lock()
        self._answers: collections.OrderedDict[object, StoredAnswer] = collections.OrderedDict()
        self._used_bytes = 0

    def put(self, key: object, answer: StoredAnswer) -> None:
        """Stores an answer unless its body is larger than `MAX_BODY_BYTES`."""
        if len(answer.body) > MAX_BODY_BYTES:
            return
        with self._lock:
            self._remove(key)
            self._answers[key] = answer
            self._used_bytes += answer.size_bytes
            while self._used_bytes > self._max_total_bytes:
                self._remove(next(iter(self._answers)))

    def get(self, key: object) -> StoredAnswer | None:
        """Returns the answer stored for a key, or None."""
        with self._lock:
            return self._answers.get(key)

    def remove(self, key: object) -> None:
        """Removes the answer stored for a key, if there is one."""
        with self._lock:
            self._remove(key)

    def _remove(self, key: object) -> None:
        answer = self._answers.pop(key, None)
        if answer is not None:
            self._used_bytes -= answer.size_bytes
