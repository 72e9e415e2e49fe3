"""Claims of calls that run at most once, by `Idempotency-Key`.

A claim lives in the memory of one node, its home. The first call with a key runs; a repeat joins
it and gets its answer, or is refused with the truth. Where the home has lost its memory, nobody
can tell whether the call ran, so a repeat is refused and never run.

A key that a node handed out names its home. The home of a key that the caller chose is the node
that created the claim's object in the platform.
"""

import itertools
import threading
import time
from collections.abc import Callable

import attrs

from bergamotridge import errors, verdict
from bergamotridge.callers import answers, bucket, idempotency
from bergamotridge.store import claims as platform_claims
from bergamotridge.store import objects

CLAIMS_PER_S = 5.0
BURST_S = 4.0
NANOS_PER_MS = 1_000_000
_Name = tuple[str, str]  # Team and Idempotency-Key.
CLAIM_CAPACITY = 50_000
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503
RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class _Entry:
    """State of one key at its home."""

    route: str
    expires: float = float("inf")
    done: threading.Event = attrs.field(factory=threading.Event)
    outcome: verdict.Verdict | None = None


@attrs.define
class _Unrun:
    """What is known of a key that this process may have claimed and that surely has not run.

    Attributes:
        attempts: Claims of this process that may have taken effect.
        claimed: True if one of them surely has.
    """

    attempts: set[int] = attrs.field(factory=set)
    claimed: bool = False


class Claim:
    """The right to run a call, or the wait for the one that has it."""

    def __init__(
        self,
        entry: _Entry,
        memory: answers.AnswerMemory,
        first: bool,
        lifetime_s: float = 0.0,
        release: Callable[[], None] = lambda: None,
    ) -> None:
        self._entry = entry
        self._memory = memory
        self._first = first
        self._lifetime_s = lifetime_s
        self._release = release

    @property
    def first(self) -> bool:
        """True if the holder of this claim must run the call and `finish` it."""
        return self._first

    @property
    def outcome(self) -> verdict.Verdict:
        """Whether the call has run, as far as this node knows by now."""
        return self._entry.outcome or verdict.Verdict.MAY_HAVE_RUN

    def wait(self, timeout_s: float) -> answers.StoredAnswer | None:
        """Waits for the first call and returns its answer, or None if there is none to give.

        After None, `outcome` says whether the call may have run.
        """
        self._entry.done.wait(timeout_s)
        return self._memory.get(self._entry)

    def finish(
        self, outcome: verdict.Verdict, answer: answers.StoredAnswer | None, now: float
    ) -> None:
        """Ends the first call; after NOT_RUN the key is free for another attempt.

        Args:
            outcome: Whether the call ran.
            answer: The whole answer for repeats, if there is one.
            now: Monotonic time in seconds.
        """
        if not self._first or self._entry.done.is_set():
            return
        if answer is not None:
            self._memory.put(self._entry, answer)
        self._entry.outcome = outcome
        self._entry.expires = now + self._lifetime_s
        if outcome.safe_to_repeat:
            self._release()
        self._entry.done.set()


class Claims:
    """All claims whose home is this node; safe to share between threads."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        client: objects.Objects | None = None,
        *,
        key_lifetime_s: float = idempotency.KEY_LIFETIME_S,
        capacity: int = CLAIM_CAPACITY,
        claims_per_s: float = CLAIMS_PER_S,
        memory: answers.AnswerMemory | None = None,
    ) -> None:
        """Creates an empty set of claims.

        Args:
            host: Name of this host.
            incarnation: Start time of this process in milliseconds.
            client: The platform; without it, keys that callers chose are refused.
            key_lifetime_s: Seconds for which a key can be used after it was issued, and for which
                an answer is kept.
            capacity: Most claims kept at once.
            claims_per_s: Most objects that this node creates in the platform per second.
            memory: Keeps the answers for repeats.
        """
        self._issuer = idempotency.KeyIssuer(host, incarnation, key_lifetime_s)
        self._host = host
        self._incarnation = incarnation
        self._store = platform_claims.ClaimObjects(client) if client else None
        self._attempts = itertools.count(1)
        self._lifetime_s = key_lifetime_s
        self._capacity = capacity
        self._writes = bucket.TokenBucket(
            claims_per_s, claims_per_s * BURST_S, 0.0, level=claims_per_s * BURST_S
        )
        self._lock = threading.Lock()
        self._entries: dict[_Name, _Entry] = {}
        self._memory = memory or answers.AnswerMemory()
        self._unrun: dict[_Name, _Unrun] = {}

    def issue(self, now: float) -> str:
        """Returns a new key whose home is this node."""
        return self._issuer.issue(now)

    def home(self, idempotency_key: str) -> str:
        """Returns the host whose node must take the call; this host for caller-chosen keys."""
        parsed = idempotency.parse(idempotency_key)
        return parsed.host if parsed else self._host

    def begin(self, idempotency_key: str, team: str, route: str, now: float) -> Claim:
        """Claims a key for a call, or joins the call that has claimed it.

        A key that the caller chose takes one write of the platform at its first call.

        Args:
            idempotency_key: Value of the caller's header.
            team: Team whose key came with the call; teams never share a claim.
            route: Route of the call.
            now: Monotonic time in seconds.

        Raises:
            ClaimedElsewhereError: The node of another host may be able to join the call.
            CallError: The call can be neither run nor joined; the verdict covers all earlier
                calls with the same key.
        """
        parsed = idempotency.parse(idempotency_key)
        if parsed is not None:
            self._issuer.check(parsed, now)
        name = (team, idempotency_key)
        with self._lock:
            entry = self._entries.get(name)
            if entry is not None:
                return self._join(entry, route)
            self._make_room(now, parsed is not None)
            entry = self._entries[name] = _Entry(route)
        if parsed is None:
            self._claim_in_platform(name, entry, now)
        return Claim(
            entry, self._memory, True, self._lifetime_s, lambda: self._release(name, parsed is None)
        )

    def _join(self, entry: _Entry, route: str) -> Claim:
        if entry.route != route:
            raise errors.CallError(
                "this Idempotency-Key belongs to a call of another route",
                status=UNPROCESSABLE,
                reason="idempotency-key-reused",
            )
        if entry.done.is_set() and self._memory.get(entry) is None:
            raise errors.CallError(
                "the call with this Idempotency-Key ended without an answer to repeat",
                status=CONFLICT,
                reason="idempotency-doubt",
                verdict=entry.outcome or verdict.Verdict.MAY_HAVE_RUN,
            )
        return Claim(entry, self._memory, False)

    def _claim_in_platform(self, name: _Name, entry: _Entry, now: float) -> None:
        try:
            self._create_object(name, now)
        except errors.CallError:
            with self._lock:
                del self._entries[name]
            entry.done.set()
            raise

    def _create_object(self, name: _Name, now: float) -> None:
        with self._lock:
            unrun = self._unrun.get(name)
            if unrun is not None and unrun.claimed:
                del self._unrun[name]
                return
            if self._store is None or not self._writes.take(now):
                raise _unavailable("too many calls with an Idempotency-Key that callers chose")
            owner = self._next_owner(name)
        try:
            object_name = platform_claims.object_name(*name)
            found = self._store.create(object_name, owner, time.time_ns() // NANOS_PER_MS)
        except errors.PlatformError as error:
            raise _unavailable(f"the platform did not confirm the claim: {error}") from error
        with self._lock:
            unrun = self._unrun.pop(name, None)
        ours = (found.host, found.incarnation) == (self._host, self._incarnation)
        if not ours or unrun is None or found.attempt not in unrun.attempts:
            raise errors.ClaimedElsewhereError(found.host, found.incarnation)

    def _next_owner(self, name: _Name) -> platform_claims.Owner:
        owner = platform_claims.Owner(self._host, self._incarnation, next(self._attempts))
        self._unrun.setdefault(name, _Unrun()).attempts.add(owner.attempt)
        while len(self._unrun) > self._capacity:
            del self._unrun[next(iter(self._unrun))]
        return owner

    def _make_room(self, now: float, unrun: bool) -> None:
        if len(self._entries) < self._capacity:
            return
        for name, entry in list(self._entries.items()):
            if entry.done.is_set() and entry.expires <= now:
                self._memory.forget(entry)
                del self._entries[name]
        if len(self._entries) >= self._capacity:
            raise errors.CallError(
                "too many calls with an Idempotency-Key are remembered here",
                status=UNAVAILABLE,
                reason="claims-full",
                verdict=verdict.Verdict.NOT_RUN if unrun else verdict.Verdict.MAY_HAVE_RUN,
                retry_after_s=RETRY_AFTER_S,
            )

    def _release(self, name: _Name, in_platform: bool) -> None:
        with self._lock:
            del self._entries[name]
            if in_platform:
                self._unrun[name] = _Unrun(claimed=True)


def _unavailable(message: str) -> errors.CallError:
    """Returns the refusal of a call whose key some other node may have claimed."""
    return errors.CallError(
        message,
        status=UNAVAILABLE,
        reason="idempotency-store",
        verdict=verdict.Verdict.MAY_HAVE_RUN,
        retry_after_s=RETRY_AFTER_S,
    )
