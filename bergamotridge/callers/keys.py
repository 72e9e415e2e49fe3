"""Keys of teams: checked on each request, granted by operators, withdrawn for good."""

import hashlib
import hmac
import secrets
import threading
from collections.abc import Iterable

import attrs

from bergamotridge import errors
from bergamotridge.store import client

KIND = "keys"
SCHEME = "bearer"
KEY_ID_BYTES = 8
SECRET_BYTES = 24
DIGEST_BYTES = 32
PAGE_ITEMS = 1000
WRITE_ATTEMPTS = 5


@attrs.frozen
class Key:
    """The key that came with a request."""

    key_id: str
    team: str


@attrs.frozen
class GrantedKey:
    """A new key; the secret text exists only here and with the caller.

    Attributes:
        key_id: Public id, for `withdraw` and for logs.
        secret_text: What the caller sends after ``Bearer``.
    """

    key_id: str
    secret_text: str


@attrs.frozen
class _Grant:
    team: str
    digest: str
    withdrawn: bool
    version: int


class KeyRing:
    """The keys that this node knows: a replica of the platform's grants, and withdrawals.

    Withdrawals only grow. One that came from an operator or a peer before the platform knew of it
    is `pending`: it spreads by gossip until the platform's own object says withdrawn.
    """

    def __init__(self, secret: str) -> None:
        """Starts empty; `secret` is the fleet's secret that keys the stored hashes."""
        self._secret = secret
        self._lock = threading.Lock()
        self._grants: dict[str, _Grant] = {}
        self._withdrawn: set[str] = set()
        self._pending: frozenset[str] = frozenset()
        self._version = 0

    @property
    def kind(self) -> str:
        """Kind of the platform's objects."""
        return KIND

    @property
    def version(self) -> int:
        """Highest version of a grant taken in."""
        return self._version

    @property
    def pending(self) -> frozenset[str]:
        """Ids withdrawn here whose withdrawal the platform has not shown yet."""
        return self._pending

    @property
    def withdrawn_count(self) -> int:
        """Number of withdrawn keys known here."""
        return len(self._withdrawn)

    def check(self, authorization: str | None, now: float) -> Key:
        """Returns the key that an Authorization header carries.

        Args:
            authorization: Value of the header, None if there was none.
            now: Monotonic time in seconds; keys have no end in time, so it decides nothing yet.

        Raises:
            CallError: 401 with reason ``"key"``: missing, malformed, unknown or withdrawn.
        """
        scheme, _, secret_text = (authorization or "").partition(" ")
        key_id, _, _ = secret_text.partition(".")
        grant = self._grants.get(key_id) if scheme.lower() == SCHEME else None
        if grant is None or not _matches(grant, self._secret, secret_text):
            raise _refusal("no valid key came with the request")
        if key_id in self._withdrawn:
            raise _refusal(f"key {key_id} is withdrawn")
        return Key(key_id, grant.team)

    def withdraw(self, key_id: str) -> None:
        """Withdraws a key at this node at once, whether or not its grant is known here."""
        self.withdraw_all((key_id,))

    def withdraw_all(self, key_ids: Iterable[str]) -> bool:
        """Withdraws keys; returns True if any was not withdrawn before."""
        with self._lock:
            news = set(key_ids) - self._withdrawn
            self._withdrawn |= news
            self._pending |= {key_id for key_id in news if not self._known_withdrawn(key_id)}
            return bool(news)

    def newer(self, since: int) -> client.Listing:
        """Returns a page of the grants with a version above `since`, lowest first."""
        with self._lock:
            found = [item for item in self._grants.items() if item[1].version > since]
        found.sort(key=lambda item: item[1].version)
        items = tuple(
            client.StoredObject(KIND, key_id, grant.version, _value(grant))
            for key_id, grant in found[:PAGE_ITEMS]
        )
        return client.Listing(items, items[-1].version if items else since)

    def take(self, listing: client.Listing) -> bool:
        """Takes in grants; returns True if any was news."""
        with self._lock:
            news = [self._take_one(item) for item in listing.items]
            self._pending = frozenset(
                key_id for key_id in self._pending if not self._known_withdrawn(key_id)
            )
            return any(news)

    def _take_one(self, item: client.StoredObject) -> bool:
        known = self._grants.get(item.name)
        if known is not None and known.version >= item.version:
            return False
        grant = _grant(item)
        self._grants[item.name] = grant
        if grant.withdrawn:
            self._withdrawn.add(item.name)
        self._version = max(self._version, item.version)
        return True

    def _known_withdrawn(self, key_id: str) -> bool:
        grant = self._grants.get(key_id)
        return grant is not None and grant.withdrawn


def grant(platform: client.ObjectClient, secret: str, team: str) -> GrantedKey:
    """Grants a new key to a team and returns it once the platform holds it.

    Raises:
        PlatformUnavailableError: The outcome is not known; the key was shown to nobody, and a new
            grant makes another one.
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret_text = f"{key_id}.{secrets.token_urlsafe(SECRET_BYTES)}"
    value = {"team": team, "digest": _digest(secret, secret_text), "withdrawn": False}
    try:
        platform.put(KIND, key_id, value, 0)
    except errors.PlatformUnavailableError:
        _read_back_grant(platform, key_id, value)
    return GrantedKey(key_id, secret_text)


def withdraw(platform: client.ObjectClient, key_id: str) -> None:
    """Withdraws a key for good in the platform; repeating it does no harm.

    Raises:
        NotFoundError: No such key was ever granted.
        PlatformUnavailableError: The outcome is not known; tell a node directly and try again.
    """
    lost: errors.PlatformError | None = None
    for _ in range(WRITE_ATTEMPTS):
        try:
            stored = platform.get(KIND, key_id)
            known = _grant(stored)
            if known.withdrawn:
                return
            platform.put(KIND, key_id, _value(attrs.evolve(known, withdrawn=True)), stored.version)
            return
        except errors.ConflictError as error:
            lost = error
        except errors.PlatformUnavailableError as error:
            lost = error
    raise errors.PlatformUnavailableError(f"withdrawal of {key_id} is not confirmed") from lost


def _read_back_grant(platform: client.ObjectClient, key_id: str, value: dict) -> None:
    try:
        platform.get(KIND, key_id)
    except errors.NotFoundError:
        platform.put(KIND, key_id, value, 0)


def _refusal(message: str) -> errors.CallError:
    return errors.CallError(message, status=401, reason="key")


def _digest(secret: str, secret_text: str) -> str:
    key = secret.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
    return hashlib.blake2b(secret_text.encode(), key=key, digest_size=DIGEST_BYTES).hexdigest()


def _matches(grant: _Grant, secret: str, secret_text: str) -> bool:
    return hmac.compare_digest(grant.digest, _digest(secret, secret_text))


def _value(grant: _Grant) -> dict:
    return {"team": grant.team, "digest": grant.digest, "withdrawn": grant.withdrawn}


def _grant(item: client.StoredObject) -> _Grant:
    """Reads a stored grant; a deleted or unreadable one counts as withdrawn."""
    value = item.value if isinstance(item.value, dict) else {}
    return _Grant(
        team=str(value.get("team", "")),
        digest=str(value.get("digest", "")),
        withdrawn=value.get("withdrawn") is not False,
        version=item.version,
    )
