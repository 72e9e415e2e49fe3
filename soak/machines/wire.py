"""HTTP/1.1 as the stand-ins speak it."""

import asyncio
import contextlib
import hashlib
import socket
import struct

import attrs

PIECE_BYTES = 8192
TCP_CLOSE = 7  # State of a connection that was reset, in the kernel's numbering.
SMALL_BUFFER_BYTES = 8192
HEAD_END = b"\r\n\r\n"
WITHOUT_LENGTH = ("HEAD", "DELETE")  # If they have no body.
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class EndedError(Exception):
    """The connection ended before a message was complete."""


@attrs.define
class Message:
    """A message; `got` counts the bytes of a body that may still come."""

    start: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])


def encode(start: str, fields: dict, body: bytes = b"", length: bool = True) -> bytes:
    """Returns the bytes of a message; without a length only those of its head."""
    lines = [start, *(f"{key}: {value}" for key, value in fields.items())]
    lines += [f"Content-Length: {len(body)}"] if length else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body if length else b"")


def content(request_id: str, size: int) -> bytes:
    """Returns the body of the answer to a request."""
    return (request_id.encode() * (size // len(request_id) + 1))[:size]


def digest(body: bytes) -> str:
    """Returns a short digest of a body."""
    return hashlib.blake2b(body, digest_size=6).hexdigest()


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Returns a message without its body."""
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        raise EndedError(f"ended after {len(error.partial)} bytes of a head") from error
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(start, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(
    reader: asyncio.StreamReader, message: Message, until_end: bool = False, pause_s: float = 0.0
) -> None:
    """Reads the body into `message`, piece by piece with pauses.

    Args:
        reader: The connection.
        message: The message; it holds the part that came if the connection ends.
        until_end: True if a body without a length ends with the connection (answers).
        pause_s: Pause between pieces.
    """
    if message.fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await _read_line(reader), 16):
            await _read_exactly(reader, message, size, pause_s)
            await _read_line(reader)
        await _read_line(reader)
    elif "content-length" in message.fields:
        await _read_exactly(reader, message, int(message.fields["content-length"]), pause_s)
    elif until_end:
        while piece := await reader.read(PIECE_BYTES):
            message.body += piece
            await asyncio.sleep(pause_s)


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise EndedError("ended between chunks")
    return line


async def _read_exactly(reader, message: Message, size: int, pause_s: float) -> None:
    while size:
        piece = await reader.read(min(size, PIECE_BYTES))
        if not piece:
            raise EndedError(f"ended {size} bytes before the end of a body")
        message.body += piece
        size -= len(piece)
        if pause_s:
            await asyncio.sleep(pause_s)


async def connect(address: str, small: bool = False):
    """Opens a connection; with a small receive buffer for readers that are to hold back."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if small:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except OSError:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES if small else 2**16)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, so that what is still under way may not be read."""
    sock = writer.get_extra_info("socket")
    if not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
        writer.transport.abort()


def tell_end(writer: asyncio.StreamWriter) -> str:
    """Returns how the other side ended a connection: ``reset`` if it left bytes unread."""
    try:
        info = writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return "reset"
    return "reset" if info[0] == TCP_CLOSE else "closed"


async def ask(address: str, start: str, body: bytes, wait_s: float) -> int:
    """Sends one request on a connection of its own; returns the status, 0 without an answer."""
    with contextlib.suppress(OSError, TimeoutError, EndedError):
        async with asyncio.timeout(wait_s):
            reader, writer = await connect(address)
            try:
                fields = {"Host": "node", "Content-Type": "application/json"}
                writer.write(encode(start, fields, body))
                return (await read_head(reader)).status
            finally:
                writer.close()
    return 0
