"""Idempotency keys that a node issues; each contains its home host and its time of issue."""

import hashlib
import hmac
import secrets

import attrs

from bergamotridge import errors, verdict

KEY_LIFETIME_S = 600.0
KEY_PREFIX = "brk1"
SECRET_BYTES = 32
NONCE_BYTES = 12
TAG_BYTES = 12
MILLIS_PER_S = 1000.0
BAD_REQUEST = 400
CONFLICT = 409
MISDIRECTED = 421


@attrs.frozen
class IssuedKey:
    """Fields of a key that a node issued.

    Attributes:
        host: Home of the key: the host whose node issued it and holds the claim of its call.
        incarnation: Start time in milliseconds of the process that issued the key.
        issued_ms: Monotonic time of issue at that process, in milliseconds.
        nonce: Random text that makes the key unique.
        tag: Message authentication code over the other fields.
    """

    host: str
    incarnation: int
    issued_ms: int
    nonce: str
    tag: str

    def __str__(self) -> str:
        return (
            f"{KEY_PREFIX}~{self.host}~{self.incarnation}~{self.issued_ms}~{self.nonce}~{self.tag}"
        )


def parse(key: str) -> IssuedKey | None:
    """Returns the fields of an issued key, or None if the caller chose the key itself."""
    parts = key.split("~")
    if len(parts) != 6 or parts[0] != KEY_PREFIX:
        return None
    try:
        return IssuedKey(parts[1], int(parts[2]), int(parts[3]), parts[4], parts[5])
    except ValueError:
        return None


class KeyIssuer:
    """Issues and checks the idempotency keys of one process."""

    def __init__(self, host: str, incarnation: int, lifetime_s: float) -> None:
        """Creates an issuer with a new random secret, so it accepts no key of another process.

        Args:
            host: Name of this host.
            incarnation: Start time of this process in milliseconds.
            lifetime_s: Seconds for which a key can be used after its issue.
        """
        self._host = host
        self._incarnation = incarnation
        self._lifetime_s = lifetime_s
        self._secret = secrets.token_bytes(SECRET_BYTES)

    def issue(self, now: float) -> str:
        """Returns a new key; `now` is monotonic time in seconds."""
        issued_ms = int(now * MILLIS_PER_S)
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        untagged_key = IssuedKey(self._host, self._incarnation, issued_ms, nonce, "")
        return str(attrs.evolve(untagged_key, tag=self._compute_tag(untagged_key)))

    def check(self, key: IssuedKey, now: float) -> None:
        """Checks that an issued key can be used here at `now`, in monotonic seconds.

        Raises:
            CallError: The key was not issued by this process or has expired.
        """
        if key.host != self._host:
            raise errors.CallError(
                f"this Idempotency-Key was issued at host '{key.host}'; send the call there",
                status=MISDIRECTED,
                reason="idempotency-home",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
            )
        if key.incarnation != self._incarnation:
            raise errors.CallError(
                "the process that issued this Idempotency-Key has ended and the call may have run; "
                "find out whether it ran before sending it with a new key",
                status=CONFLICT,
                reason="idempotency-doubt",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
            )
        if not hmac.compare_digest(self._compute_tag(key).encode(), key.tag.encode()):
            raise errors.CallError(
                "this Idempotency-Key was not issued here; send a key exactly as it was issued",
                status=BAD_REQUEST,
                reason="idempotency-forged",
            )
        if now >= key.issued_ms / MILLIS_PER_S + self._lifetime_s:
            raise errors.CallError(
                "this Idempotency-Key has expired and the call may have run; "
                "find out whether it ran before sending it with a new key",
                status=CONFLICT,
                reason="idempotency-doubt",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
            )

    def _compute_tag(self, key: IssuedKey) -> str:
        text = str(attrs.evolve(key, tag="")).encode()
        return hashlib.blake2b(text, key=self._secret, digest_size=TAG_BYTES).hexdigest()
