"""Checked network addresses: an IP address and a port."""

import ipaddress
import re
import socket

import attrs

from bergamotridge import errors
from bergamotridge.util import excerpt

MAX_PORT = 65_535
# Port 0 lets the system choose one; only a listening socket can ask for that.
ANY_PORT = 0

_PORT_PATTERN = re.compile("[0-9]{1,5}", re.ASCII)


@attrs.frozen
class Address:
    """An address that can be passed to the functions of the system's sockets."""

    host: str
    port: int

    @property
    def pair(self) -> tuple[str, int]:
        """IP and port, as sockets and event loops take them."""
        return (self.host, self.port)

    @property
    def family(self) -> socket.AddressFamily:
        """Address family of the IP."""
        return socket.AF_INET6 if ":" in self.host else socket.AF_INET

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse(value: object, *, min_port: int = 1) -> Address:
    """Parses ``IP:PORT``; an IPv6 address may be in brackets.

    Args:
        value: The address, which may come from another process.
        min_port: Lowest port that is accepted; `ANY_PORT` for a listening socket.

    Raises:
        MalformedEntryError: `value` is anything else, or its port is out of range.
    """
    if isinstance(value, str):
        host, _, port = value.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        if _is_ip(host) and _PORT_PATTERN.fullmatch(port) and min_port <= int(port) <= MAX_PORT:
            return Address(host, int(port))
    raise errors.MalformedEntryError(
        f"{excerpt.quote(value)} is not an address; accepted: IP:PORT, such as 10.0.0.5:8000"
    )


def is_address(value: object) -> bool:
    """Returns True if `parse` accepts a value."""
    try:
        parse(value)
    except errors.MalformedEntryError:
        return False
    return True


def _is_ip(text: str) -> bool:
    try:
        ip = ipaddress.ip_address(text)
    except ValueError:
        return False
    return getattr(ip, "scope_id", None) is None
