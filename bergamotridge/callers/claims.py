"""Claims of calls that run at most once, by `Idempotency-Key`.

A claim lives in the memory of one node, its home. The first call with a key runs; a repeat joins
it and gets its answer, or is refused with the truth. Where the home has lost its memory, nobody
can tell whether the call ran, so a repeat is refused and never run.
"""

import threading
from collections.abc import Callable

import attrs

from bergamotridge import errors, verdict
from bergamotridge.callers import idempotency

CLAIM_CAPACITY = 50_000
ANSWER_BYTES = 65_536
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503
RETRY_AFTER_S = 1.0


@attrs.frozen
class StoredAnswer:
    """The whole answer of a finished call, kept for repeats."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.define(eq=False)
class _Entry:
    """State of one key at its home."""

    route: str
    expires: float
    done: threading.Event = attrs.field(factory=threading.Event)
    outcome: verdict.Verdict | None = None
    answer: StoredAnswer | None = None


class Claim:
    """The right to run a call, or the wait for the one that has it."""

    def __init__(self, entry: _Entry, first: bool, release: Callable[[], None]) -> None:
        self._entry = entry
        self._first = first
        self._release = release

    @property
    def first(self) -> bool:
        """True if the holder of this claim must run the call and `finish` it."""
        return self._first

    @property
    def outcome(self) -> verdict.Verdict:
        """Whether the call has run, as far as this node knows by now."""
        return self._entry.outcome or verdict.Verdict.MAY_HAVE_RUN

    def wait(self, timeout_s: float) -> StoredAnswer | None:
        """Waits for the first call and returns its answer, or None if there is none to give.

        After None, `outcome` says whether the call may have run.
        """
        self._entry.done.wait(timeout_s)
        return self._entry.answer

    def finish(self, outcome: verdict.Verdict, answer: StoredAnswer | None, now: float) -> None:
        """Ends the first call; after NOT_RUN the key is free for another attempt.

        Args:
            outcome: Whether the call ran.
            answer: The whole answer for repeats, if there is one.
            now: Monotonic time in seconds.
        """
        del now
        if not self._first or self._entry.done.is_set():
            return
        if answer is not None and len(answer.body) <= ANSWER_BYTES:
            self._entry.answer = answer
        self._entry.outcome = outcome
        if outcome.safe_to_repeat:
            self._release()
        self._entry.done.set()


class Claims:
    """All claims whose home is this node."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        *,
        key_lifetime_s: float = idempotency.KEY_LIFETIME_S,
        capacity: int = CLAIM_CAPACITY,
    ) -> None:
        """Creates an empty set of claims.

        Args:
            host: Name of this host.
            incarnation: Start time of this process in milliseconds.
            key_lifetime_s: Seconds for which a key can be used after it was issued.
            capacity: Most claims kept at once.
        """
        self._issuer = idempotency.KeyIssuer(host, incarnation, key_lifetime_s)
        self._lifetime_s = key_lifetime_s
        self._host = host
        self._capacity = capacity
        self._lock = threading.Lock()
        self._entries: dict[tuple[str, str], _Entry] = {}

    def issue(self, now: float) -> str:
        """Returns a new key whose home is this node."""
        return self._issuer.issue(now)

    def home(self, idempotency_key: str) -> str:
        """Returns the host whose node must take the call; this host for caller-chosen keys."""
        parsed = idempotency.parse(idempotency_key)
        return parsed.host if parsed else self._host

    def begin(self, idempotency_key: str, team: str, route: str, now: float) -> Claim:
        """Claims a key for a call, or joins the call that has claimed it.

        Args:
            idempotency_key: Value of the caller's header.
            team: Team whose key came with the call; teams never share a claim.
            route: Route of the call.
            now: Monotonic time in seconds.

        Raises:
            CallError: The call can be neither run nor joined; the verdict covers all earlier
                calls with the same key.
        """
        parsed = idempotency.parse(idempotency_key)
        expires = self._issuer.expiry(parsed, now) if parsed else now + self._lifetime_s
        name = (team, idempotency_key)
        with self._lock:
            entry = self._entries.get(name)
            if entry is not None:
                return self._join(entry, route)
            self._make_room(now)
            entry = _Entry(route, expires)
            self._entries[name] = entry
            return Claim(entry, True, lambda: self._forget(name, entry))

    def _join(self, entry: _Entry, route: str) -> Claim:
        if entry.route != route:
            raise errors.CallError(
                "this Idempotency-Key belongs to a call of another route",
                status=UNPROCESSABLE,
                reason="idempotency-key-reused",
            )
        if entry.done.is_set() and entry.answer is None:
            raise errors.CallError(
                "the call with this Idempotency-Key ended without an answer to repeat",
                status=CONFLICT,
                reason="idempotency-doubt",
                verdict=entry.outcome or verdict.Verdict.MAY_HAVE_RUN,
            )
        return Claim(entry, False, lambda: None)

    def _make_room(self, now: float) -> None:
        if len(self._entries) < self._capacity:
            return
        for name, entry in list(self._entries.items()):
            if entry.expires <= now and entry.done.is_set():
                del self._entries[name]
        if len(self._entries) >= self._capacity:
            raise errors.CallError(
                "too many calls with an Idempotency-Key are remembered here",
                status=UNAVAILABLE,
                reason="claims-full",
                retry_after_s=RETRY_AFTER_S,
            )

    def _forget(self, name: tuple[str, str], entry: _Entry) -> None:
        with self._lock:
            if self._entries.get(name) is entry:
                del self._entries[name]
