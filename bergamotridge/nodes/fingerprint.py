"""Fingerprints of requests: equal for requests with the same content, whoever sends them."""

import hashlib
import hmac

import xxhash

from bergamotridge.util import message

_PURPOSE = b"fingerprint"  # HMAC input that derives the seed from the fleet secret.
_SEED_BYTES = 8
_LENGTH_BYTES = 8


class Fingerprinter:
    """Computes fingerprints that all nodes of a fleet agree on.

    The seed is derived from the fleet secret, so callers cannot construct a request with the
    fingerprint of another one.
    """

    def __init__(self, fleet_secret: str) -> None:
        digest = hmac.digest(fleet_secret.encode(), _PURPOSE, hashlib.sha256)
        self._seed = int.from_bytes(digest[:_SEED_BYTES], "big")

    def compute(self, service: str, virtual_host: str, request: message.Request) -> int:
        """Returns the 64-bit fingerprint of a request for a service.

        It covers the method, the host name, the path with the query and the body. Header fields are
        left out, as they differ between requests with the same effect: ids, keys, time limits.

        Args:
            service: Service that the request is sent to.
            virtual_host: Host name that the caller addressed, "" if routes do not depend on it.
            request: The request.
        """
        hasher = xxhash.xxh3_64(seed=self._seed)
        host = virtual_host.lower().encode()
        for part in (service.encode(), request.method, host, request.target, request.body):
            hasher.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
            hasher.update(part)
        return hasher.intdigest()


def format_fingerprint(fingerprint: int) -> str:
    """Returns the form of a fingerprint in logs and errors."""
    return f"{fingerprint:016x}"
