"""What one connection of the HTTP server needs of its server."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from bergamotridge.util import (
    cancellation,
    connection_table,
    held_bytes,
    input_turns,
    message,
    pipeline,
    request_reader,
)

Handler = Callable[[message.Request, cancellation.Token], Awaitable[message.Response]]


class ConnectionOwner(Protocol):
    """The server that a connection belongs to; `httpd.Server` describes the attributes."""

    bounds: Callable[[], request_reader.RequestLimits]
    handler: Handler
    name: str
    refusal: bytes
    memory_refusal: message.Response
    memory: held_bytes.HeldBytes
    closing: bool
    on_arrival: Callable[[], None]
    connections: connection_table.ConnectionTable
    input_turns: input_turns.InputTurns
    pipelining: pipeline.Policy

    def admit(self, connection: connection_table.Connection) -> bool:
        """Registers a new connection; returns False if the server is full."""

    def report_turned_away(self, cause: str) -> None:
        """Counts a connection that is closed without an answer of the handler."""
