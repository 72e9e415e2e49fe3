"""What the kernel knows of the other end of a connection on this machine, by `sock_diag(7)`.

It tells from outside whether a process has accepted a connection, and how much it hasn't read.
"""

import asyncio
import fcntl
import socket
import struct
import termios

import attrs

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY, NLMSG_ERROR, NLM_F_REQUEST = 20, 2, 1
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = b"\xff" * 8
OPEN_STATES = (1, 8)  # TCP_ESTABLISHED and TCP_CLOSE_WAIT.
ANSWER_BYTES = 4096
WAIT_S = 1.0

_HEADER = struct.Struct("=IHHII")  # Length, type, flags, number and process.
_QUESTION = struct.Struct("=BBBBI")  # Family, protocol, extensions, padding and states.
_PORTS = struct.Struct("!HH")
# Family, state, timer, repeats; the socket; expiry, queues of input and output, user and inode.
_ANSWER = struct.Struct("=BBBB48sIIIII")


@attrs.frozen
class Pending:
    """What the other process hasn't read: whether it has accepted, and bytes on the way to it."""

    accepted: bool
    size: int


def find_pending(writer: asyncio.StreamWriter) -> Pending | None:
    """Returns what was written and not yet read, or None if the other end has closed."""
    sock = writer.get_extra_info("socket")
    try:
        unread = _ask(sock.getpeername(), sock.getsockname())
        unsent = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except (OSError, ValueError):  # The connection has ended; a closed socket has no number.
        return None
    if unread is None:
        return None
    size = unread.size + struct.unpack("=i", unsent)[0]
    return Pending(unread.accepted, size + writer.transport.get_write_buffer_size())


def _ask(local: tuple[str, int], remote: tuple[str, int]) -> Pending | None:
    """Returns the input that waits at the socket with these addresses, None if there is none."""
    addresses = b"".join(socket.inet_aton(ip).ljust(16, b"\0") for ip, _ in (local, remote))
    wanted = _PORTS.pack(local[1], remote[1]) + addresses + b"\0" * 4 + NO_COOKIE
    question = _QUESTION.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES) + wanted
    length = _HEADER.size + len(question)
    header = _HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as link:
        link.settimeout(WAIT_S)
        link.send(header + question)
        answer = link.recv(ANSWER_BYTES)
    if _HEADER.unpack_from(answer)[1] == NLMSG_ERROR:
        return None
    _, state, _, _, _, _, unread, _, _, inode = _ANSWER.unpack_from(answer, _HEADER.size)
    # Without a connection of these addresses, the kernel answers with the listener.
    return Pending(inode != 0, unread) if state in OPEN_STATES else None
