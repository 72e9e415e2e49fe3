"""How much has arrived on a connection that its process has yet to read."""

import fcntl
import socket
import struct
import termios

_COUNT = struct.Struct("=i")


def count_bytes(sock: socket.socket) -> int:
    """Returns the bytes that wait to be read; 0 where the kernel doesn't tell.

    Args:
        sock: The socket of an open connection.
    """
    try:
        return _COUNT.unpack(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_COUNT.size)))[0]
    except OSError:
        return 0
