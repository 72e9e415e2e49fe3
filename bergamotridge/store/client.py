"""Client of the platform's object API: conditional updates and watches over HTTP."""

import io
import socket
import threading
import urllib.parse
from collections.abc import Mapping, Sequence

import attrs
import orjson
import pycurl

from bergamotridge import errors, malformed
from bergamotridge.store import position, readable, restorations
from bergamotridge.util import clock, connecting, fields

EPOCH_HEADER = "Store-Epoch"  # Rises when the store was restored from an earlier copy.
MAX_EPOCH_DIGITS = 18  # Such numbers fit into 64 bits.
# A reply may come without end. A list of all objects of a kind fits, and so does any one object.
MAX_REPLY_BODY_BYTES = 16_777_216
MAX_REPLY_HEAD_BYTES = 65_536
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_SERVER_ERROR = 500
_WATCH_GRACE_S = 1.0  # Added to the time limit of a watch, so that its response can arrive.


@attrs.frozen
class StoredObject:
    """One version of an object.

    Attributes:
        kind: Kind of the object.
        name: Name within the kind.
        version: Version of the last change.
        value: JSON value; None if a watch reports the object as deleted, or if it has a fault.
        fault: Why the value cannot be used by any reader, "" if there is no such reason.
    """

    kind: str
    name: str
    version: position.Position
    value: object
    fault: str = ""


@attrs.frozen
class Listing:
    """Objects of one kind, read at one version of the whole store.

    Attributes:
        items: The objects that could be read.
        version: The version of the store.
        reports: Reports of what could not be read; such an object is left out, or has a fault.
        is_complete: True if an object of the kind that is neither among the items nor reported
            didn't exist at that version.
    """

    items: tuple[StoredObject, ...]
    version: position.Position
    reports: tuple[malformed.MalformedEntry, ...] = ()
    is_complete: bool = False


@attrs.frozen
class Reply:
    """The platform's response to one request.

    Attributes:
        status: HTTP status.
        body: Body.
        headers: Header fields, by name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = attrs.field(factory=dict)

    def epoch(self, header: str) -> int:
        """Returns the store's epoch as a header field gives it, 0 if there is no such field.

        Raises:
            PlatformUnavailableError: The value is not a whole number.
        """
        value = self.headers.get(header.lower(), "0")
        if not (value.isascii() and value.isdigit() and len(value) <= MAX_EPOCH_DIGITS):
            raise errors.PlatformUnavailableError(
                f"the response's header field '{header}' is not a whole number; try again"
            )
        return int(value)


class _ReplyBuffer:
    """A response that is being read; one that exceeds its limits ends the request.

    Attributes:
        body: The body so far.
        header_lines: The lines of the head so far.
    """

    def __init__(self) -> None:
        self.body = io.BytesIO()
        self.header_lines: list[bytes] = []
        self._head_bytes = 0

    def write_body(self, data: bytes) -> int | None:
        """Appends a piece of the body; a number other than its length ends the request."""
        if self.body.tell() + len(data) > MAX_REPLY_BODY_BYTES:
            return 0
        return self.body.write(data)

    def write_header(self, line: bytes) -> int | None:
        """Appends a line of the head; a number other than its length ends the request."""
        self._head_bytes += len(line)
        if self._head_bytes > MAX_REPLY_HEAD_BYTES:
            return 0
        self.header_lines.append(line)
        return None


class Transport:
    """Sends single HTTP requests to the platform; safe to share between threads.

    Each thread uses its own connection.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates a transport without opening a connection.

        Args:
            address: IP:PORT of the object API.
            timeout_s: Time limit of one request in seconds.
        """
        self._base_url = f"http://{address}"
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
            body: JSON body, or None to send none.
            timeout_s: Time limit in seconds; None means the time limit of the transport.

        Raises:
            PlatformUnavailableError: No complete response arrived in time; a write may still take
                effect.
        """
        if self._closed:
            raise errors.PlatformUnavailableError(
                "the client of the platform is closed; create a new one"
            )
        handle = self._thread_handle()
        reply = _ReplyBuffer()
        handle.reset()
        handle.setopt(pycurl.URL, self._base_url + path)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.MAXCONNECTS, 1)
        handle.setopt(pycurl.OPENSOCKETFUNCTION, _open_socket)
        # libcurl repeats a request by itself if a reused connection closes before the response.
        # A repeated write would get a conflict with its own first attempt, so each write opens a
        # new connection.
        handle.setopt(pycurl.FRESH_CONNECT, int(method != "GET"))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(self.timeout_s * 1000))
        handle.setopt(pycurl.TIMEOUT_MS, int((timeout_s or self.timeout_s) * 1000))
        handle.setopt(pycurl.WRITEFUNCTION, reply.write_body)
        handle.setopt(pycurl.HEADERFUNCTION, reply.write_header)
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
        return Reply(
            handle.getinfo(pycurl.RESPONSE_CODE),
            reply.body.getvalue(),
            _parse_header_lines(reply.header_lines),
        )

    def _thread_handle(self) -> pycurl.Curl:
        handle = getattr(self._local, "handle", None)
        if handle is None:
            handle = self._local.handle = pycurl.Curl()
        return handle


def _parse_header_lines(lines: Sequence[bytes]) -> dict[str, str]:
    """Returns the header fields by name in lower case; those of interim responses are included."""
    fields = {}
    for line in lines:
        name, separator, value = line.decode("latin-1").partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return fields


def _open_socket(_purpose: int, address: tuple) -> socket.socket:
    family, kind, protocol, _ = address
    sock = socket.socket(family, kind, protocol)
    connecting.enable_tcp_keepalive(sock)
    return sock


class ObjectClient:
    """Client of the platform's object API; safe to share between threads.

    Each thread uses its own connection. Every method raises PlatformUnavailableError if no complete
    response arrived within the time limit. A write that raises it may or may not have taken effect.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float,
        known_restorations: restorations.Restorations | None = None,
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            address: IP:PORT of the object API.
            timeout_s: Time limit of one request in seconds; the wait of a watch is added to it.
            known_restorations: Receives the store's epoch of each response; a new one if None.
        """
        self._transport = Transport(address, timeout_s)
        self._restorations = known_restorations or restorations.Restorations()

    def get(self, kind: str, name: str, *, eventual: bool = False) -> StoredObject:
        """Returns the current version of an object; raises NotFoundError if there is none.

        The object API has no cheaper reads, so `eventual` has no effect.
        """
        del eventual
        reply = self._request("GET", _object_path(kind, name))
        return _decode_object(kind, _decode_json_object(reply), _epoch_of(reply))

    def list(self, kind: str, *, eventual: bool = False) -> Listing:
        """Returns all objects of a kind; `eventual` has no effect, as in `get`."""
        del eventual
        listing = _decode_listing(kind, self._request("GET", f"/objects/{_quote_segment(kind)}"))
        return attrs.evolve(listing, is_complete=True)

    def put(
        self, kind: str, name: str, value: object, version: position.Position
    ) -> position.Position:
        """Writes an object if its current version is `version`.

        A `version` that stands for a missing object means that it must not exist yet.

        Returns:
            The new version.

        Raises:
            ConflictError: Another version is the current one.
            PlatformUnavailableError: The write may or may not have taken effect.
        """
        path = f"{_object_path(kind, name)}?{_condition(version)}"
        reply = self._request("PUT", path, orjson.dumps(value))
        return _version_of(_decode_json_object(reply), _epoch_of(reply))

    def delete(self, kind: str, name: str, version: position.Position) -> None:
        """Deletes an object if its current version is `version`.

        Raises:
            NotFoundError: There is no such object.
            ConflictError: Another version is the current one.
            PlatformUnavailableError: The deletion may or may not have taken effect.
        """
        self._request("DELETE", f"{_object_path(kind, name)}?{_condition(version)}")

    def watch(self, kind: str, since: position.Position, wait_s: float) -> Listing:
        """Returns the objects of a kind whose version is above `since`.

        If there is none, waits up to `wait_s` seconds for the first change; the listing is empty if
        none came. If the store was restored since then, all objects are returned.
        """
        path = (
            f"/watch/{_quote_segment(kind)}?since={since.revision}&wait_s={wait_s:g}"
            f"&epoch={since.epoch}"
        )
        reply = self._perform(
            "GET", path, timeout_s=self._transport.timeout_s + wait_s + _WATCH_GRACE_S
        )
        if reply.status == _GONE:
            return self.list(kind)
        return _decode_listing(kind, _check_status("GET", path, reply))

    def close(self) -> None:
        """Ends requests in flight within about a second and fails all later ones."""
        self._transport.close()

    def _request(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float | None = None
    ) -> Reply:
        return _check_status(method, path, self._perform(method, path, body, timeout_s))

    def _perform(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float | None = None
    ) -> Reply:
        reply = self._transport.perform(method, path, body, timeout_s)
        self._restorations.check(_epoch_of(reply), clock.boot_time())
        return reply


def _check_status(method: str, path: str, reply: Reply) -> Reply:
    """Returns a reply with status 200; raises the PlatformError of any other."""
    if reply.status == _OK:
        return reply
    if reply.status == _NOT_FOUND:
        raise errors.NotFoundError(
            f"the platform has no object at {path}; check its kind and name",
            position.Position(_epoch_of(reply), 0),
        )
    if reply.status == _CONFLICT:
        current = _version_of(_decode_json_object(reply), _epoch_of(reply))
        raise errors.ConflictError(
            f"{path}: the current version is {current}; read it and try again", current
        )
    if reply.status >= _SERVER_ERROR:
        raise errors.PlatformUnavailableError(
            f"{method} {path}: the platform returned status {reply.status}; try again"
        )
    raise errors.PlatformError(
        f"{method} {path}: the platform refused the request with status {reply.status}; "
        "check the platform's address"
    )


def _epoch_of(reply: Reply) -> int:
    return reply.epoch(EPOCH_HEADER)


def _condition(version: position.Position) -> str:
    """Returns the query of a write that is conditional on a version."""
    epoch = f"&epoch={version.epoch}" if version.exists else ""
    return f"version={version.revision}{epoch}"


def _quote_segment(segment: str) -> str:
    return urllib.parse.quote(segment, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{_quote_segment(kind)}/{_quote_segment(name)}"


def _decode_json_object(reply: Reply) -> dict:
    try:
        decoded = orjson.loads(reply.body)
    except orjson.JSONDecodeError as error:
        raise errors.PlatformUnavailableError(
            "the platform's response is not JSON: try again, or check the platform's address"
        ) from error
    if not isinstance(decoded, dict):
        raise errors.PlatformUnavailableError(
            "the platform's response is not a JSON object: "
            "try again, or check the platform's address"
        )
    return decoded


def _version_of(mapping: dict, epoch: int) -> position.Position:
    version = mapping.get("version")
    if type(version) is not int or not 0 <= version <= fields.MAX_INTEGER:
        raise errors.PlatformUnavailableError(
            "the platform's response has no version: try again, or check the platform's address"
        )
    return position.Position(epoch, version)


def _decode_object(
    kind: str, entry: object, epoch: int, max_revision: int = fields.MAX_INTEGER
) -> StoredObject:
    """Returns the object of an entry; raises MalformedObjectError if it cannot be read."""
    try:
        name = fields.text("name", readable.member(entry, "name"))
        revision = readable.member(entry, "version")
        fields.whole_number("version", revision, 1, max_revision)
    except errors.MalformedEntryError as error:
        raise errors.MalformedObjectError(
            f"the platform's response has an object that cannot be read: {error}"
        ) from error
    value = readable.member(entry, "value")
    fault = readable.find_fault(value)
    version = position.Position(epoch, revision)
    return StoredObject(kind, name, version, None if fault else value, fault)


def _decode_listing(kind: str, reply: Reply) -> Listing:
    mapping, epoch = _decode_json_object(reply), _epoch_of(reply)
    items = mapping.get("items")
    if not isinstance(items, list):
        raise errors.PlatformUnavailableError(
            "the platform's response has no items: try again, or check the platform's address"
        )
    version = _version_of(mapping, epoch)
    read = readable.decode_each(
        kind,
        items,
        lambda entry: _decode_object(kind, entry, epoch, version.revision),
        lambda entry: readable.member(entry, "name"),
    )
    return Listing(read.items, version, read.reports)
