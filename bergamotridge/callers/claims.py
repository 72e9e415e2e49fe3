"""Claims of calls that run at most once, by `Idempotency-Key`.

A claim is held in the memory of one node, the home of the key. The first call with a key runs. A
repeat waits for the first call and gets its answer, or is refused with a verdict that says whether
the call may have run. Once the home has lost its memory, no node has a record of whether the call
ran, so a repeat is refused and never runs.

A key that a node issued contains its home. The home of a key that the caller chose is the node
that created the object of the claim in the platform.

If the platform's store was restored from a copy, objects of claims may be lost. The homes write
theirs again, and no node claims a key that a caller chose until all claims that it can't know of
are as old as a key is valid.
"""

import itertools
import threading
import time
from collections.abc import Callable

from bergamotridge import errors, verdict
from bergamotridge.callers import answers, bucket, claim_state, idempotency
from bergamotridge.store import claim_objects, holding, objects

CLAIMS_PER_S = 5.0  # Claim objects that one node creates in the platform.
BURST_S = 4.0  # Burst of these creations, in seconds at the rate above.
NANOS_PER_MS = 1_000_000
_ClaimId = tuple[str, str]  # Team and Idempotency-Key.
CLAIM_CAPACITY = 50_000
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503
RETRY_AFTER_S = 1.0


def reservation_s(key_lifetime_s: float) -> float:
    """Returns the time in seconds after a restoration in which no chosen key is claimed."""
    return key_lifetime_s * (1.0 + holding.CLOCK_DRIFT_FRACTION)


class Claims:
    """All claims whose home is this node; thread-safe."""

    def __init__(
        self,
        host: str,
        incarnation: int,
        client: objects.Objects | None = None,
        *,
        key_lifetime_s: float = idempotency.KEY_LIFETIME_S,
        capacity: int = CLAIM_CAPACITY,
        claims_per_s: float = CLAIMS_PER_S,
        answer_cache: answers.AnswerCache | None = None,
        may_have_lost: Callable[[], bool] = lambda: False,
        confirm_restorations: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates an empty set of claims.

        Args:
            host: Name of this host.
            incarnation: Start time of this process in milliseconds.
            client: Client of the platform; None refuses keys that callers chose.
            key_lifetime_s: Seconds for which a key can be used after its issue, and for which a
                claim and its answer are kept after the end of the call.
            capacity: Largest number of claims held at once.
            claims_per_s: Largest rate at which this node creates claim objects in the platform,
                per second.
            answer_cache: Stores the answers for repeats; None creates a cache.
            may_have_lost: Returns whether the platform's store may have lost claims which still
                count: it was restored within `reservation_s`, or this process may not know.
            confirm_restorations: Makes certain that this process knows of restorations before its
                start; raises PlatformError if it can't.
        """
        self._may_have_lost = may_have_lost
        self._confirm_restorations = confirm_restorations
        self._issuer = idempotency.KeyIssuer(host, incarnation, key_lifetime_s)
        self._host = host
        self._incarnation = incarnation
        self._claim_objects = claim_objects.ClaimObjects(client) if client else None
        self._attempts = itertools.count(1)
        self._lifetime_s = key_lifetime_s
        self._capacity = capacity
        self._create_limiter = bucket.TokenBucket(
            claims_per_s, claims_per_s * BURST_S, 0.0, level=claims_per_s * BURST_S
        )
        self._lock = threading.Lock()
        self._entries: dict[_ClaimId, claim_state.Entry] = {}
        self._answer_cache = answer_cache or answers.AnswerCache()
        self._unrun_claims: dict[_ClaimId, claim_state.UnrunClaim] = {}

    @property
    def reservation_s(self) -> float:
        """Time in seconds after a restoration of the platform in which no chosen key is claimed."""
        return reservation_s(self._lifetime_s)

    def handle_restoration(self) -> None:
        """Forgets which objects of the platform certainly are this process's own."""
        with self._lock:
            self._unrun_claims.clear()

    def write_again(self, number: int, skip: int) -> int:
        """Writes claims again whose objects a restoration of the platform may have lost.

        Args:
            number: Largest number of objects to write.
            skip: Number of claims to leave out, counted from the latest, as they were written.

        Returns:
            The number of claims that were written or found stored.

        Raises:
            PlatformError: The platform did not confirm a write.
        """
        with self._lock:
            stored = [claim_id for claim_id, entry in self._entries.items() if entry.stored]
            claim_ids = stored[::-1][skip : skip + number]
            # Not registered: by these attempts a call has run, or may run.
            owners = [
                claim_objects.Owner(self._host, self._incarnation, next(self._attempts))
                for _ in claim_ids
            ]
        for claim_id, owner in zip(claim_ids, owners, strict=True):
            object_name = claim_objects.object_name(*claim_id)
            self._claim_objects.create(object_name, owner, time.time_ns() // NANOS_PER_MS)
        return len(claim_ids)

    def issue(self, now: float) -> str:
        """Returns a new idempotency key whose home is this node; `now` is in monotonic seconds."""
        return self._issuer.issue(now)

    def home_host(self, idempotency_key: str) -> str:
        """Returns the host to try first: the home of an issued key, this host for other keys."""
        parsed = idempotency.parse(idempotency_key)
        return parsed.host if parsed else self._host

    def begin(self, idempotency_key: str, team: str, route: str, now: float) -> claim_state.Claim:
        """Claims a key for a call, or joins the call that has claimed it.

        The first call with a key that the caller chose writes one object to the platform.

        Args:
            idempotency_key: Value of the caller's header.
            team: Team whose API key came with the call; a claim belongs to one team.
            route: Route of the call.
            now: Monotonic time in seconds.

        Raises:
            ClaimedElsewhereError: Another process holds the claim; the node of the error's host
                may be able to join the call.
            CallError: The call can be neither run nor joined; the verdict covers all earlier
                calls with the same key.
        """
        parsed = idempotency.parse(idempotency_key)
        if parsed is not None:
            self._issuer.check(parsed, now)
        claim_id = (team, idempotency_key)
        with self._lock:
            entry = self._entries.get(claim_id)
            if entry is not None:
                return self._join(entry, route)
            self._ensure_capacity(now, parsed is not None)
            entry = self._entries[claim_id] = claim_state.Entry(route)
        if parsed is None:
            self._claim_in_platform(claim_id, entry, now)
        return claim_state.Claim(
            entry,
            self._answer_cache,
            True,
            self._lifetime_s,
            lambda: self._release(claim_id),
        )

    def _join(self, entry: claim_state.Entry, route: str) -> claim_state.Claim:
        if entry.route != route:
            raise errors.CallError(
                "this Idempotency-Key belongs to a call of another route; "
                "use a new key for each call",
                status=UNPROCESSABLE,
                reason="idempotency-key-reused",
            )
        if entry.finished.is_set() and self._answer_cache.get(entry) is None:
            raise errors.CallError(
                "the call with this Idempotency-Key ended and no answer to it is stored; "
                "look up its result at the service",
                status=CONFLICT,
                reason="idempotency-doubt",
                verdict=entry.outcome or verdict.Verdict.MAY_HAVE_RUN,
            )
        return claim_state.Claim(entry, self._answer_cache, False)

    def _claim_in_platform(self, claim_id: _ClaimId, entry: claim_state.Entry, now: float) -> None:
        """Claims a caller-chosen key in the platform; removes the entry if that fails."""
        try:
            entry.stored = self._create_object(claim_id, now)
        except errors.CallError:
            with self._lock:
                del self._entries[claim_id]
            entry.finished.set()
            raise

    def _create_object(self, claim_id: _ClaimId, now: float) -> claim_state.StoredClaim:
        """Returns the object of a claim, created unless this process has it; raises CallError."""
        with self._lock:
            unrun = self._unrun_claims.get(claim_id)
            if unrun is not None and self._is_valid(unrun.stored, now):
                del self._unrun_claims[claim_id]
                return unrun.stored
            self._check_restoration()
            if self._claim_objects is None:
                raise _store_unavailable_error(
                    "this node has no platform to store the claim of a key that a caller chose; "
                    "use a key that a node issued"
                )
            # From here on a call may wait for the platform, so there are only so many.
            if not self._create_limiter.take(now):
                raise _store_unavailable_error(
                    "too many calls with an Idempotency-Key that callers chose; "
                    "retry later or use a key that a node issued"
                )
        self._confirm_known_restorations()
        with self._lock:
            self._check_restoration()
            owner = self._register_attempt(claim_id)
        try:
            object_name = claim_objects.object_name(*claim_id)
            stored_owner = self._claim_objects.create(
                object_name, owner, time.time_ns() // NANOS_PER_MS
            )
        except errors.PlatformError as error:
            raise _store_unavailable_error(
                f"the platform did not confirm the claim: {error}; retry with the same key"
            ) from error
        with self._lock:
            self._check_restoration()
            unrun = self._unrun_claims.pop(claim_id, None)
        # The object may stem from an earlier attempt of this process whose answer was lost. Its
        # call did not run, so the claim can be used.
        created_here = (stored_owner.host, stored_owner.incarnation) == (
            self._host,
            self._incarnation,
        )
        if not created_here or unrun is None or stored_owner.attempt not in unrun.attempts:
            raise errors.ClaimedElsewhereError(stored_owner.host, stored_owner.incarnation)
        return claim_state.StoredClaim(stored_owner.attempt, now)

    def _is_valid(self, stored: claim_state.StoredClaim | None, now: float) -> bool:
        """Returns whether an object counts as the claim of this process without a look at it.

        Once that has ended, other nodes may have claimed the key after a restoration of the
        platform of which this node has not heard.
        """
        valid_s = self._lifetime_s * (1.0 - holding.CLOCK_DRIFT_FRACTION)
        return stored is not None and now < stored.stored_at + valid_s

    def _confirm_known_restorations(self) -> None:
        try:
            self._confirm_restorations()
        except errors.PlatformError as error:
            raise _store_unavailable_error(
                f"this node can't tell whether the platform was restored from a copy: {error}; "
                "retry with the same key"
            ) from error

    def _check_restoration(self) -> None:
        """Raises CallError if a restoration of the platform may have lost any claim."""
        if self._may_have_lost():
            raise _store_unavailable_error(
                "the platform may have been restored from a copy that lacks the claim of this key; "
                f"keys that callers chose are claimed again at the latest {self._lifetime_s:.0f} s "
                "after that; until then use a key that a node issued"
            )

    def _register_attempt(self, claim_id: _ClaimId) -> claim_objects.Owner:
        """Records a new create request and returns the owner to write; evicts old records."""
        owner = claim_objects.Owner(self._host, self._incarnation, next(self._attempts))
        self._unrun_claims.setdefault(claim_id, claim_state.UnrunClaim()).attempts.add(
            owner.attempt
        )
        while len(self._unrun_claims) > self._capacity:
            del self._unrun_claims[next(iter(self._unrun_claims))]
        return owner

    def _ensure_capacity(self, now: float, issued_here: bool) -> None:
        """Evicts expired claims if the table is full; raises CallError if it remains full.

        The call of an issued key without a claim at its home has not run, as a claim is kept for
        longer than its key is valid. The call of a key that the caller chose may have run at
        another node.
        """
        if len(self._entries) < self._capacity:
            return
        for claim_id, entry in list(self._entries.items()):
            if entry.finished.is_set() and entry.expires_at <= now:
                self._answer_cache.remove(entry)
                del self._entries[claim_id]
        if len(self._entries) >= self._capacity:
            raise errors.CallError(
                "too many calls with an Idempotency-Key are stored here; retry later",
                status=UNAVAILABLE,
                reason="claims-full",
                verdict=verdict.Verdict.NOT_RUN if issued_here else verdict.Verdict.MAY_HAVE_RUN,
                retry_after_s=RETRY_AFTER_S,
            )

    def _release(self, claim_id: _ClaimId) -> None:
        """Removes the claim of a call that has not run; its object in the platform remains."""
        with self._lock:
            stored = self._entries.pop(claim_id).stored
            if stored is not None:
                self._unrun_claims[claim_id] = claim_state.UnrunClaim({stored.attempt}, stored)


def _store_unavailable_error(message: str) -> errors.CallError:
    """Returns the error for a call whose key another node may have claimed."""
    return errors.CallError(
        message,
        status=UNAVAILABLE,
        reason="idempotency-store",
        verdict=verdict.Verdict.MAY_HAVE_RUN,
        retry_after_s=RETRY_AFTER_S,
    )
