"""The ports of a node, which it takes all at once or not at all."""

import socket
from collections.abc import Mapping

from bergamotridge import errors, settings
from bergamotridge.util import listening

DATAGRAMS = "datagrams"
# A node that stops frees the first of these last. While it still runs, the next process on its host
# fails at the first one, and holds none that a client or another node may connect to.
ORDER = ("ready", "operators", "control", DATAGRAMS, "upstream", "relay", "callers")


class BoundPorts:
    """Sockets bound to all addresses of a node, none of which accepts connections yet."""

    def __init__(self, sockets: Mapping[str, socket.socket]) -> None:
        """Takes over the sockets, by the names of `ORDER`."""
        self._sockets = dict(sockets)

    def take(self, name: str) -> socket.socket:
        """Returns the socket of a port; the part of the node that serves it closes it."""
        return self._sockets.pop(name)

    def close(self) -> None:
        """Closes the sockets that have not been taken."""
        for item in self._sockets.values():
            item.close()
        self._sockets.clear()


def bind(addresses: settings.Addresses) -> BoundPorts:
    """Binds all ports of a node.

    Datagrams and control messages have the same address. Only one process can be bound to it for
    datagrams, so two nodes that start at the same time never share out the ports among themselves.

    Raises:
        AddressUnavailableError: A port can't be bound; none is bound then.
    """
    sockets: dict[str, socket.socket] = {}
    try:
        for name in ORDER:
            endpoint = _endpoint(addresses, name)
            if endpoint.address:
                sockets[name] = endpoint.bind()
    except errors.AddressUnavailableError:
        BoundPorts(sockets).close()
        raise
    return BoundPorts(sockets)


def _endpoint(addresses: settings.Addresses, name: str) -> listening.Endpoint:
    if name == DATAGRAMS:
        return listening.Endpoint(
            addresses.control, "datagrams", "'addresses.control'", socket.SOCK_DGRAM
        )
    return listening.Endpoint(getattr(addresses, name), name, f"'addresses.{name}'")
