"""Ends the HTTP ports of a node side by side: none waits for the pauses of the others."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

OTHERS_END_S = 0.3  # For ports whose calls may take no longer than the connections of callers.


class Port(Protocol):
    """A port of the event loop that can be ended."""

    async def end(self, grace_s: float) -> None:
        """Stops accepting connections, waits for running calls, then closes all connections."""


async def end_all(callers: Port, others: Sequence[Port], grace_s: float) -> None:
    """Ends the port of callers, and the others once it has ended or its time is nearly over.

    Until then the others are open, as the calls of callers need them.

    Args:
        callers: The port of callers.
        others: The other ports.
        grace_s: Longest wait for running calls in seconds.
    """
    event_loop = asyncio.get_running_loop()
    deadline = event_loop.time() + grace_s
    ending = event_loop.create_task(callers.end(grace_s))
    await asyncio.wait({ending}, timeout=max(0.0, grace_s - OTHERS_END_S))
    left_s = max(0.0, deadline - event_loop.time())
    await asyncio.gather(ending, *(port.end(left_s) for port in others))
