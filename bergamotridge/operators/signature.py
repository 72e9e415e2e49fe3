"""Signatures of operators' requests, made with the fleet secret, which itself is never sent."""

import hashlib
import hmac

HEADER = "Bergamotridge-Signature"


def sign(fleet_secret: str, path: str, body: bytes) -> str:
    """Returns the signature of a request's path and body."""
    message = path.encode() + b"\n" + body
    return hmac.new(fleet_secret.encode(), message, hashlib.sha256).hexdigest()


def is_valid(fleet_secret: str, path: str, body: bytes, given: str) -> bool:
    """Returns True if `given` is the signature of the request."""
    return hmac.compare_digest(sign(fleet_secret, path, body).encode(), given.encode())
