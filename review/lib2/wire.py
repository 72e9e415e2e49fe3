"""HTTP/1.1 as the stand-ins of these cases speak it."""

import asyncio

MAX_HEAD_BYTES = 65_536


class EndedError(Exception):
    """The connection ended before a message was complete."""


def encode(start: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Returns the first line of a message and its header fields, with names in lower case."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EndedError("ended in a head") from error
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Returns the body of a message, by its length or in chunks."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int(await reader.readline() or b"x", 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
            return body
        return await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise EndedError("ended in a body") from error


async def ask(
    address: tuple[str, int], start: str, fields: dict[str, str], body: bytes, wait_s: float
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a connection of its own; returns status 0 if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD_BYTES)
            writer.write(encode(start, fields, body))
            answer, answer_fields = await read_head(reader)
            content = await read_body(reader, answer_fields)
            return int(answer.split(" ")[1]), answer_fields, content
    except (OSError, TimeoutError, EndedError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
