"""API keys of teams: checked on each request, granted and irrevocably withdrawn by operators."""

import hashlib
import hmac
import re
import secrets
import threading
from collections.abc import Callable, Iterable

import attrs

from bergamotridge import errors
from bergamotridge.store import client, position, replica
from bergamotridge.util import excerpt, fields

KIND = "keys"
AUTH_SCHEME = "bearer"
KEY_ID_BYTES = 8
SECRET_BYTES = 24
DIGEST_BYTES = 32
PAGE_ITEMS = 1000
MAX_WRITE_ATTEMPTS = 5
RETRY_AFTER_S = 1  # Told to callers while this node has not received the keys yet.
_DIGEST_PATTERN = re.compile(f"[0-9a-f]{{{2 * DIGEST_BYTES}}}")


@attrs.define
class Key:
    """The valid key of a request."""

    key_id: str
    team: str


@attrs.frozen
class GrantedKey:
    """A new key; its secret text is not stored anywhere else and must be given to the caller.

    Attributes:
        key_id: Public id of the key, used by `withdraw` and in logs.
        secret_text: Text that the caller sends after ``Bearer`` in the Authorization header.
    """

    key_id: str
    secret_text: str


@attrs.frozen
class _StoredGrant:
    """A grant as the platform stores it, with its version.

    Attributes:
        team: Team that the key belongs to.
        digest: Hash of the secret text in hexadecimal, keyed with the fleet secret.
        withdrawn: True if the key is withdrawn.
        version: Version of the stored object.
    """

    team: str
    digest: str
    withdrawn: bool
    version: position.Position


class KeyRing:
    """Replica of the platform's grants, and the set of withdrawn keys, at one node.

    A withdrawal is never removed. One that an operator or a peer sent before the platform stored
    it is `pending`: it is spread by gossip until the platform's object shows it. It is pending
    again if the platform comes back from a copy without it. A grant that the copy lacks stays
    valid, and is `unstored` until it is written again.
    """

    def __init__(self, fleet_secret: str, was_complete: Callable[[], bool] = lambda: True) -> None:
        """Starts empty.

        Args:
            fleet_secret: The key of the stored keyed hashes.
            was_complete: Returns True once this replica is known to have held all grants at some
                time since the start of the process; before that, an unknown key may be valid.
        """
        self._fleet_secret = fleet_secret
        self._was_complete = was_complete
        self._lock = threading.Lock()
        self._grants: dict[str, _StoredGrant] = {}
        self._withdrawn: set[str] = set()
        self._pending: frozenset[str] = frozenset()
        self._position = position.START
        self._listed_epoch = 0

    @property
    def kind(self) -> str:
        """Kind of the grant objects in the platform."""
        return KIND

    @property
    def version(self) -> replica.ReplicaVersion:
        """Highest version of a grant in this replica."""
        return replica.ReplicaVersion(seen=self._position)

    @property
    def pending(self) -> frozenset[str]:
        """Ids of keys withdrawn here whose stored grant does not show the withdrawal yet."""
        return self._pending

    @property
    def unstored(self) -> frozenset[str]:
        """Ids of granted keys that the platform lacks since it was restored from a copy."""
        with self._lock:
            return frozenset(
                key_id
                for key_id, grant in self._grants.items()
                if grant.version.epoch < self._listed_epoch
            )

    def is_granted(self, key_id: str) -> bool:
        """Returns whether the grant of a key is known here."""
        return key_id in self._grants

    def stored_form(self, key_id: str) -> dict:
        """Returns the value of the platform's object for a granted key, with its withdrawal."""
        with self._lock:
            grant = self._grants[key_id]
            return _encode_grant(
                attrs.evolve(grant, withdrawn=grant.withdrawn or key_id in self._withdrawn)
            )

    @property
    def withdrawn_count(self) -> int:
        """Number of withdrawn keys known at this node."""
        return len(self._withdrawn)

    def check(self, authorization: str | None, now: float) -> Key:
        """Returns the key of an Authorization header.

        Args:
            authorization: Value of the header, None if there was none.
            now: Monotonic time in seconds; unused, as keys do not expire.

        Raises:
            CallError: Status 401 with reason ``"key"``: the key is missing, malformed, unknown or
                withdrawn. Status 503 with reason ``"keys"``: the key is unknown, and this node has
                not received all keys yet.
        """
        scheme, _, secret_text = (authorization or "").partition(" ")
        key_id, _, _ = secret_text.partition(".")
        has_key = scheme.lower() == AUTH_SCHEME and bool(key_id)
        grant = self._grants.get(key_id) if has_key else None
        if grant is None and has_key and key_id not in self._withdrawn and not self._was_complete():
            raise errors.CallError(
                "this node has not received the keys yet; try again later",
                status=503,
                reason="keys",
                retry_after_s=RETRY_AFTER_S,
            )
        if grant is None or not _has_matching_digest(grant, self._fleet_secret, secret_text):
            raise _make_key_error(
                "the request has no valid key; send one as 'Authorization: Bearer KEY'"
            )
        if key_id in self._withdrawn:
            raise _make_key_error(f"key '{key_id}' is withdrawn; ask an operator for a new one")
        return Key(key_id, grant.team)

    def withdraw(self, key_id: str) -> None:
        """Withdraws a key at this node at once, even if its grant is not known here."""
        self.withdraw_all((key_id,))

    def withdraw_all(self, key_ids: Iterable[str]) -> bool:
        """Withdraws keys at this node; returns True if any was not withdrawn before."""
        with self._lock:
            new_ids = set(key_ids) - self._withdrawn
            self._withdrawn |= new_ids
            self._pending |= {
                key_id for key_id in new_ids if not self._is_withdrawal_confirmed(key_id)
            }
            return bool(new_ids)

    def listing_since(self, since: replica.ReplicaVersion) -> client.Listing:
        """Returns one page of the grants with a version above `since`, in ascending order."""
        with self._lock:
            newer_grants = [item for item in self._grants.items() if item[1].version > since.seen]
        newer_grants.sort(key=lambda item: item[1].version)
        items = tuple(
            client.StoredObject(KIND, key_id, grant.version, _encode_grant(grant))
            for key_id, grant in newer_grants[:PAGE_ITEMS]
        )
        return client.Listing(items, items[-1].version if items else since.seen)

    def apply_listing(self, listing: client.Listing) -> bool:
        """Adds grants to this replica; returns True if any was newer than the one held here."""
        with self._lock:
            is_newer = [self._apply_object(item) for item in listing.items]
            self._listed_epoch = max(self._listed_epoch, listing.version.epoch)
            listed = {item.name for item in listing.items} & self._withdrawn
            self._pending = frozenset(
                key_id
                for key_id in self._pending | listed
                if not self._is_withdrawal_confirmed(key_id)
            )
            return any(is_newer)

    def _apply_object(self, item: client.StoredObject) -> bool:
        current = self._grants.get(item.name)
        if current is not None and current.version >= item.version:
            return False
        grant = _decode_grant(item)
        self._grants[item.name] = grant
        if grant.withdrawn:
            self._withdrawn.add(item.name)
        self._position = max(self._position, item.version)
        return True

    def _is_withdrawal_confirmed(self, key_id: str) -> bool:
        grant = self._grants.get(key_id)
        return grant is not None and grant.withdrawn


def grant(platform: client.ObjectClient, fleet_secret: str, team: str) -> GrantedKey:
    """Grants a new key to a team and returns it once the platform has stored it.

    Args:
        platform: Client of the platform's object store.
        fleet_secret: The fleet secret, with which the key's hash is keyed.
        team: Team that the key is for.

    Raises:
        UsageError: Nodes would not accept the name of the team.
        PlatformUnavailableError: The outcome is unknown. The secret text of the key was not
            disclosed, and a repeated call grants another key.
    """
    if not fields.is_text(team):
        raise errors.UsageError(
            f"the team is {excerpt.quote(team)}; accepted: printable text of 1 to "
            f"{fields.MAX_NAME_LENGTH} characters"
        )
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret_text = f"{key_id}.{secrets.token_urlsafe(SECRET_BYTES)}"
    value = {"team": team, "digest": _compute_digest(fleet_secret, secret_text), "withdrawn": False}
    try:
        platform.put(KIND, key_id, value, position.START)
    except errors.PlatformUnavailableError:
        _confirm_grant(platform, key_id, value)
    return GrantedKey(key_id, secret_text)


def withdraw(
    platform: client.ObjectClient, key_id: str, max_attempts: int = MAX_WRITE_ATTEMPTS
) -> None:
    """Withdraws a key in the platform, irrevocably; idempotent.

    Args:
        platform: Client of the platform's object store.
        key_id: Id of the key.
        max_attempts: How often it is tried.

    Raises:
        NotFoundError: No such key was ever granted.
        MalformedObjectError: The platform's answer cannot be read.
        PlatformUnavailableError: The outcome is unknown; withdraw the key at a node directly and
            try again.
    """
    last_error: errors.PlatformError | None = None
    for _ in range(max_attempts):
        try:
            stored = platform.get(KIND, key_id)
            current = _decode_grant(stored)
            if current.withdrawn:
                return
            platform.put(
                KIND, key_id, _encode_grant(attrs.evolve(current, withdrawn=True)), stored.version
            )
            return
        except errors.ConflictError as error:
            last_error = error
        except errors.MalformedObjectError:
            raise
        except errors.PlatformUnavailableError as error:
            last_error = error
    raise errors.PlatformUnavailableError(
        f"withdrawal of key '{key_id}' is not confirmed; withdraw it again"
    ) from last_error


def _confirm_grant(platform: client.ObjectClient, key_id: str, value: dict) -> None:
    """Reads a grant whose write has an unknown outcome, and writes it again if it is missing."""
    try:
        platform.get(KIND, key_id)
    except errors.NotFoundError:
        platform.put(KIND, key_id, value, position.START)


def _make_key_error(message: str) -> errors.CallError:
    return errors.CallError(message, status=401, reason="key")


def _compute_digest(fleet_secret: str, secret_text: str) -> str:
    key = fleet_secret.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
    return hashlib.blake2b(secret_text.encode(), key=key, digest_size=DIGEST_BYTES).hexdigest()


def _has_matching_digest(grant: _StoredGrant, fleet_secret: str, secret_text: str) -> bool:
    return hmac.compare_digest(grant.digest, _compute_digest(fleet_secret, secret_text))


def _encode_grant(grant: _StoredGrant) -> dict:
    return {"team": grant.team, "digest": grant.digest, "withdrawn": grant.withdrawn}


def _decode_grant(item: client.StoredObject) -> _StoredGrant:
    """Returns the grant of a stored object; a deleted or malformed one counts as withdrawn."""
    value = item.value if isinstance(item.value, dict) else {}
    team, digest = value.get("team"), value.get("digest")
    if not fields.is_text(team) or not _is_digest(digest):
        return _StoredGrant("", "", withdrawn=True, version=item.version)
    return _StoredGrant(team, digest, value.get("withdrawn") is not False, item.version)


def _is_digest(value: object) -> bool:
    return isinstance(value, str) and _DIGEST_PATTERN.fullmatch(value) is not None
