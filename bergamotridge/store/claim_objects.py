"""Claims of idempotency keys that callers chose; each is created as one object of the platform."""

import hashlib

import attrs

from bergamotridge import errors
from bergamotridge.store import objects, position
from bergamotridge.util import fields

KIND = "claims"
NAME_DIGEST_BYTES = 16


@attrs.frozen
class Owner:
    """The process that claimed a key.

    Attributes:
        host: Host of the process.
        incarnation: Start time of the process in milliseconds.
        attempt: Number of the claim, counted within the process.
    """

    host: str
    incarnation: int
    attempt: int


def object_name(team: str, idempotency_key: str) -> str:
    """Returns the name of a claim's object, a hash that reveals neither team nor key."""
    team_and_key = f"{team}\0{idempotency_key}".encode()
    return hashlib.blake2b(team_and_key, digest_size=NAME_DIGEST_BYTES).hexdigest()


class ClaimObjects:
    """Creates the claim objects at the platform."""

    def __init__(self, client: objects.Objects) -> None:
        """Creates claims through `client`."""
        self._client = client

    def create(self, name: str, owner: Owner, created_ms: int) -> Owner:
        """Claims a name unless it is already claimed, and returns its owner.

        Args:
            name: Name of the object.
            owner: Process that claims the name.
            created_ms: Wall-clock time in milliseconds, by which old claims are removed.

        Raises:
            PlatformError: The owner could not be determined; the claim may or may not have taken
                effect.
        """
        value = {**attrs.asdict(owner), "created_ms": created_ms}
        try:
            self._client.put(KIND, name, value, position.START)
        except errors.ConflictError:
            return self._read_owner(name)
        return owner

    def _read_owner(self, name: str) -> Owner:
        stored = self._client.get(KIND, name)
        try:
            value = fields.table("the value", stored.value)
            return Owner(
                fields.text("host", value.get("host")),
                fields.whole_number(
                    "incarnation", value.get("incarnation"), 0, fields.MAX_START_MS
                ),
                fields.whole_number("attempt", value.get("attempt"), 0, fields.MAX_INTEGER),
            )
        except errors.MalformedEntryError as error:
            raise errors.MalformedObjectError(
                f"the claim object is malformed, check which process wrote it: {error}"
            ) from error
