"""One claim of a call that runs at most once, and what its home keeps of it."""

import threading
from collections.abc import Callable

import attrs

from bergamotridge import verdict
from bergamotridge.callers import answers


@attrs.frozen
class StoredClaim:
    """The object of a claim that the platform confirmed.

    Attributes:
        attempt: Number of the create request that wrote it.
        stored_at: Monotonic time in seconds at which that request was begun.
    """

    attempt: int
    stored_at: float


@attrs.define(eq=False)
class Entry:
    """State of one claim at its home.

    Attributes:
        route: Route of the first call.
        expires_at: Monotonic time in seconds from which the claim may be evicted.
        stored: The object of the claim, None for keys that nodes issue and before it is confirmed.
        finished: Set when the first call has ended.
        outcome: Whether the first call ran, None until it has ended.
    """

    route: str
    expires_at: float = float("inf")
    stored: StoredClaim | None = None
    finished: threading.Event = attrs.field(factory=threading.Event)
    outcome: verdict.Verdict | None = None


@attrs.define
class UnrunClaim:
    """State of a key whose call has certainly not run, though this process may hold its object.

    Attributes:
        attempts: Numbers of the create requests of this process that may have taken effect.
        stored: The object that one of them certainly wrote, None if none certainly did.
    """

    attempts: set[int] = attrs.field(factory=set)
    stored: StoredClaim | None = None


class Claim:
    """Permission to run a call, or to wait for the answer of the first call with the same key."""

    def __init__(
        self,
        entry: Entry,
        answer_cache: answers.AnswerCache,
        first: bool,
        lifetime_s: float = 0.0,
        release: Callable[[], None] = lambda: None,
    ) -> None:
        self._entry = entry
        self._answer_cache = answer_cache
        self._first = first
        self._lifetime_s = lifetime_s
        self._release = release

    @property
    def first(self) -> bool:
        """True if the holder of this claim must run the call and then call `finish`."""
        return self._first

    @property
    def outcome(self) -> verdict.Verdict:
        """Whether the call has run; MAY_HAVE_RUN while this node has no outcome recorded."""
        return self._entry.outcome or verdict.Verdict.MAY_HAVE_RUN

    def wait(self, timeout_s: float) -> answers.StoredAnswer | None:
        """Waits for the first call to end and returns its answer, or None if none is stored.

        After None, `outcome` says whether the call may have run.
        """
        self._entry.finished.wait(timeout_s)
        return self._answer_cache.get(self._entry)

    def finish(
        self, outcome: verdict.Verdict, answer: answers.StoredAnswer | None, now: float
    ) -> None:
        """Records the end of the first call; after NOT_RUN, the key can be claimed again.

        Args:
            outcome: Whether the call ran.
            answer: The complete answer for repeats, None if there is none.
            now: Monotonic time in seconds.
        """
        if not self._first or self._entry.finished.is_set():
            return
        if answer is not None:
            self._answer_cache.put(self._entry, answer)
        self._entry.outcome = outcome
        self._entry.expires_at = now + self._lifetime_s
        if outcome.safe_to_repeat:
            self._release()
        self._entry.finished.set()
