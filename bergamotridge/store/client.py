"""Client of the platform's object API: conditional updates and watches over HTTP."""

import io
import socket
import threading
import urllib.parse

import attrs
import orjson
import pycurl

from bergamotridge import errors
from bergamotridge.util import http_client

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_SERVER_ERROR = 500
_GRACE_S = 1.0  # Above the wait of a watch, for its answer to arrive.


@attrs.frozen
class StoredObject:
    """One version of an object; `value` is None when a watch reports it as deleted."""

    kind: str
    name: str
    version: int
    value: object


@attrs.frozen
class Listing:
    """Objects of one kind as of one version of the whole store."""

    items: tuple[StoredObject, ...]
    version: int


@attrs.frozen
class Reply:
    """What the platform answered to one request."""

    status: int
    body: bytes


class Transport:
    """Sends single requests to the platform; safe to share between threads.

    Each thread keeps a connection of its own.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        """Prepares requests.

        Args:
            address: IP:PORT of the object API.
            timeout_s: Time limit of one request in seconds.
        """
        self._base = f"http://{address}"
        self.timeout_s = timeout_s
        self._local = threading.local()
        self._closed = False

    def close(self) -> None:
        """Ends requests in flight within about a second and fails all later ones."""
        self._closed = True

    def perform(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float | None = None
    ) -> Reply:
        """Sends one request.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON body, None for none.
            timeout_s: Time limit in seconds, that of the transport if None.

        Raises:
            PlatformUnavailableError: No whole answer came in time; a write may still take effect.
        """
        if self._closed:
            raise errors.PlatformUnavailableError("the client of the platform is closed")
        handle = self._handle()
        received = io.BytesIO()
        handle.reset()
        handle.setopt(pycurl.URL, self._base + path)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.MAXCONNECTS, 1)
        handle.setopt(pycurl.OPENSOCKETFUNCTION, _open_socket)
        # libcurl sends a request again by itself when a reused connection dies unanswered. A
        # repeated write would report a conflict with itself, so writes take a new connection.
        handle.setopt(pycurl.FRESH_CONNECT, int(method != "GET"))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(self.timeout_s * 1000))
        handle.setopt(pycurl.TIMEOUT_MS, int((timeout_s or self.timeout_s) * 1000))
        handle.setopt(pycurl.WRITEFUNCTION, received.write)
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(self._closed))
        if body is not None:
            handle.setopt(pycurl.POSTFIELDS, body)
            handle.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
        try:
            handle.perform()
        except pycurl.error as error:
            message = f"{method} {path}: {error.args[-1]}"
            raise errors.PlatformUnavailableError(message) from error
        return Reply(handle.getinfo(pycurl.RESPONSE_CODE), received.getvalue())

    def _handle(self) -> pycurl.Curl:
        handle = getattr(self._local, "handle", None)
        if handle is None:
            handle = self._local.handle = pycurl.Curl()
        return handle


def _open_socket(_purpose: int, address: tuple) -> socket.socket:
    family, kind, protocol, _ = address
    sock = socket.socket(family, kind, protocol)
    http_client.keep_watch(sock)
    return sock


class ObjectClient:
    """Talks to the platform's object API; safe to share between threads.

    Each thread keeps a connection of its own. Every method raises PlatformUnavailableError when no
    whole answer came within the time limit; after a write that leaves its outcome unknown.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        """Prepares a client.

        Args:
            address: IP:PORT of the object API.
            timeout_s: Time limit of one request in seconds; a watch has its own wait on top.
        """
        self._transport = Transport(address, timeout_s)

    def get(self, kind: str, name: str) -> StoredObject:
        """Returns the current version of an object; raises NotFoundError if there is none."""
        answer = self._request("GET", _object_path(kind, name))
        return _stored(kind, _mapping(answer))

    def list(self, kind: str) -> Listing:
        """Returns all objects of a kind."""
        return _listing(kind, _mapping(self._request("GET", f"/objects/{_quote(kind)}")))

    def put(self, kind: str, name: str, value: object, version: int) -> int:
        """Writes an object if its current version is `version`; 0 means that it must not exist.

        Returns:
            The new version.

        Raises:
            ConflictError: Another version is the current one.
            PlatformUnavailableError: The write may or may not have taken effect.
        """
        path = f"{_object_path(kind, name)}?version={version}"
        return _version(_mapping(self._request("PUT", path, orjson.dumps(value))))

    def delete(self, kind: str, name: str, version: int) -> None:
        """Deletes an object if its current version is `version`.

        Raises:
            NotFoundError: There is no such object.
            ConflictError: Another version is the current one.
            PlatformUnavailableError: The deletion may or may not have taken effect.
        """
        self._request("DELETE", f"{_object_path(kind, name)}?version={version}")

    def watch(self, kind: str, since: int, wait_s: float) -> Listing:
        """Returns the objects of a kind with a version above `since`, waiting for the first.

        The listing is empty if none came within `wait_s` seconds.
        """
        path = f"/watch/{_quote(kind)}?since={since}&wait_s={wait_s:g}"
        answer = self._request("GET", path, timeout_s=self._transport.timeout_s + wait_s + _GRACE_S)
        return _listing(kind, _mapping(answer))

    def close(self) -> None:
        """Ends requests in flight within about a second and fails all later ones."""
        self._transport.close()

    def _request(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float | None = None
    ) -> Reply:
        answer = self._transport.perform(method, path, body, timeout_s)
        if answer.status == _OK:
            return answer
        if answer.status == _NOT_FOUND:
            raise errors.NotFoundError(f"the platform has no {path}")
        if answer.status == _CONFLICT:
            current = _version(_mapping(answer))
            raise errors.ConflictError(f"{path}: the current version is {current}", current)
        if answer.status >= _SERVER_ERROR:
            raise errors.PlatformUnavailableError(f"{method} {path}: status {answer.status}")
        raise errors.PlatformError(f"{method} {path}: status {answer.status}")


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{_quote(kind)}/{_quote(name)}"


def _mapping(answer: Reply) -> dict:
    try:
        decoded = orjson.loads(answer.body)
    except orjson.JSONDecodeError as error:
        raise errors.PlatformUnavailableError("the platform's answer is not JSON") from error
    if not isinstance(decoded, dict):
        raise errors.PlatformUnavailableError("the platform's answer is not a JSON object")
    return decoded


def _version(mapping: dict) -> int:
    version = mapping.get("version")
    if not isinstance(version, int):
        raise errors.PlatformUnavailableError("the platform's answer has no version")
    return version


def _stored(kind: str, mapping: dict) -> StoredObject:
    name = mapping.get("name")
    if not isinstance(name, str):
        raise errors.PlatformUnavailableError("the platform's answer has an object without a name")
    return StoredObject(kind, name, _version(mapping), mapping.get("value"))


def _listing(kind: str, mapping: dict) -> Listing:
    items = mapping.get("items")
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise errors.PlatformUnavailableError("the platform's answer has no items")
    return Listing(tuple(_stored(kind, item) for item in items), _version(mapping))
