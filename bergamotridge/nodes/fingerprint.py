"""Fingerprints of requests: equal for requests with the same content, whoever sends them."""

import functools
import hashlib
import hmac
import struct

import xxhash

from bergamotridge.util import message

_PURPOSE = b"fingerprint"  # HMAC input that derives the seed from the fleet secret.
_SEED_BYTES = 8
_encode_length = struct.Struct(">Q").pack
_CACHED_PREFIXES = 256


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
        target, body = request.target, request.body
        prefix = _encode_prefix(service, request.method, virtual_host)
        head = (prefix, _encode_length(len(target)), target, _encode_length(len(body)))
        hasher = xxhash.xxh3_64(b"".join(head), seed=self._seed)
        hasher.update(body)
        return hasher.intdigest()


@functools.lru_cache(maxsize=_CACHED_PREFIXES)
def _encode_prefix(service: str, method: bytes, virtual_host: str) -> bytes:
    """Returns the parts that many requests share, each behind its length."""
    parts = (service.encode(), method, virtual_host.lower().encode())
    return b"".join(_encode_length(len(part)) + part for part in parts)


def format_fingerprint(fingerprint: int) -> str:
    """Returns the form of a fingerprint in logs and errors."""
    return f"{fingerprint:016x}"
