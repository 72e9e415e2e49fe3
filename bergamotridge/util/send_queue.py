"""How much of what was written to a connection its other side has not taken yet."""

import fcntl
import socket
import struct

SIOCOUTQNSD = 0x894B  # Of Linux: counts what was not sent, without what is only unacknowledged.

_COUNT = struct.Struct("=i")


def count_bytes(sock: socket.socket) -> int:
    """Returns the bytes that the kernel holds until the other side has room for them.

    Returns 0 where the kernel doesn't tell.
    """
    try:
        return _COUNT.unpack(fcntl.ioctl(sock.fileno(), SIOCOUTQNSD, bytes(_COUNT.size)))[0]
    except OSError:
        return 0
