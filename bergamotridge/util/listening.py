"""Binding and listening on an address in two steps, with errors that name the address."""

import errno
import socket

import attrs

from bergamotridge import errors
from bergamotridge.util import addresses


@attrs.frozen
class Endpoint:
    """An address on which a process receives connections or datagrams.

    Attributes:
        address: IP:PORT; port 0 lets the system choose one.
        purpose: What is received there, for error messages.
        setting: Name of the setting that holds the address, for error messages.
        kind: Connections (`SOCK_STREAM`) or datagrams (`SOCK_DGRAM`).
    """

    address: str
    purpose: str
    setting: str = "the address"
    kind: socket.SocketKind = socket.SOCK_STREAM

    def bind(self) -> socket.socket:
        """Returns a socket bound to the address, which accepts no connection yet.

        Raises:
            AddressInUseError: Another process listens on the address.
            AddressUnavailableError: The address can't be bound for another reason.
        """
        address = addresses.parse(self.address, min_port=addresses.ANY_PORT)
        bound = socket.socket(address.family, self.kind)
        try:
            if self.kind == socket.SOCK_STREAM:
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind(address.pair)
        except OSError as error:
            bound.close()
            raise self._describe(error) from error
        return bound

    def listen(self, bound: socket.socket, backlog: int) -> None:
        """Makes a bound socket accept connections; it is closed if that fails.

        Args:
            bound: Result of `bind`.
            backlog: Connections that may wait to be accepted.

        Raises:
            AddressInUseError: Another process listens on the address.
            AddressUnavailableError: Listening failed for another reason.
        """
        try:
            bound.listen(backlog)
        except OSError as error:
            bound.close()
            raise self._describe(error) from error

    def _describe(self, error: OSError) -> errors.AddressUnavailableError:
        is_in_use = error.errno == errno.EADDRINUSE
        kind = errors.AddressInUseError if is_in_use else errors.AddressUnavailableError
        return kind(
            f"cannot listen for {self.purpose} on '{self.address}': {error.strerror}; "
            f"free the port or change {self.setting} in the settings"
        )
