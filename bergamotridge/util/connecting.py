"""Opens TCP connections whose other side is given up soon if it shows no sign of life."""

import asyncio
import socket

from bergamotridge.util import addresses, client_connection

CONNECT_TIMEOUT_S = 0.3
LATE_CONNECT_S = 0.02  # For the loop to learn of a connection after its time is over.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
MAX_TCP_KEEPALIVE_PROBES = 2


def enable_tcp_keepalive(sock: socket.socket) -> None:
    """Sets TCP options that let the kernel detect an unresponsive peer within a few seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_TCP_KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, client_connection.TCP_USER_TIMEOUT_MS
    )


async def open_socket(
    address: addresses.Address, event_loop: asyncio.AbstractEventLoop, timeout_s: float
) -> socket.socket:
    """Returns a connected socket that doesn't block.

    Args:
        address: Address to connect to.
        event_loop: The running event loop.
        timeout_s: Seconds within which the connection must be open, `CONNECT_TIMEOUT_S` at most.

    Raises:
        OSError: The connection can't be opened; TimeoutError if it takes too long.
    """
    sock = socket.socket(address.family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        enable_tcp_keepalive(sock)
        opening = event_loop.create_task(event_loop.sock_connect(sock, address.pair))
        await _wait_until_open(opening, min(CONNECT_TIMEOUT_S, timeout_s))
    except BaseException:
        sock.close()
        raise
    return sock


async def _wait_until_open(opening: asyncio.Task, timeout_s: float) -> None:
    """Waits until a connection is open; raises OSError, or TimeoutError after `timeout_s` seconds.

    In a process that stood still, the time may be over before the loop learns of the connection.
    """
    try:
        for wait_s in (max(0.0, timeout_s), LATE_CONNECT_S):
            if not opening.done():
                await asyncio.wait({opening}, timeout=wait_s)
        if not opening.done():
            raise TimeoutError
        opening.result()
    finally:
        # The socket may be closed only once the loop has left it.
        if opening.cancel():
            await asyncio.wait({opening})
