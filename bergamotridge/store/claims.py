"""Claims of keys that callers chose, as objects of the platform: one conditional create each."""

import hashlib

import attrs

from bergamotridge import errors
from bergamotridge.store import objects

KIND = "claims"
NAME_BYTES = 16


@attrs.frozen
class Owner:
    """The process that claimed a key.

    Attributes:
        host: Host of the process.
        incarnation: Start time of the process in milliseconds.
        attempt: Number of the claim within the process.
    """

    host: str
    incarnation: int
    attempt: int


def object_name(team: str, idempotency_key: str) -> str:
    """Returns the name of a claim's object; neither team nor key can be read from it."""
    text = f"{team}\0{idempotency_key}".encode()
    return hashlib.blake2b(text, digest_size=NAME_BYTES).hexdigest()


class ClaimObjects:
    """Creates the objects of claims."""

    def __init__(self, client: objects.Objects) -> None:
        """Uses the given client."""
        self._client = client

    def create(self, name: str, owner: Owner, created_ms: int) -> Owner:
        """Claims a name unless it is claimed, and returns who has it.

        Args:
            name: Name of the object.
            owner: Who claims it.
            created_ms: Wall-clock time in milliseconds, for the removal of old claims.

        Raises:
            PlatformError: The claim may or may not have taken effect.
        """
        value = {**attrs.asdict(owner), "created_ms": created_ms}
        try:
            self._client.put(KIND, name, value, 0)
        except errors.ConflictError:
            return self._read(name)
        return owner

    def _read(self, name: str) -> Owner:
        value = self._client.get(KIND, name).value
        try:
            return Owner(value["host"], value["incarnation"], value["attempt"])
        except (TypeError, KeyError) as error:
            raise errors.PlatformError(f"the claim object is malformed: {error}") from error
