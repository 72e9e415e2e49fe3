"""Turns in which connections parse input that is too much for one iteration of the event loop."""

import asyncio
import collections
from collections.abc import Callable


class InputTurns:
    """Lets connections continue one after another, one in each iteration of the loop.

    An iteration thus costs the same however many connections have such input, and all other
    connections are served between two turns. Belongs to one event loop.
    """

    def __init__(self, on_turn: Callable[[], None] = lambda: None) -> None:
        """Starts without a connection that waits.

        Args:
            on_turn: Called at the start of each turn.
        """
        self._on_turn = on_turn
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()

    def add(self, event_loop: asyncio.AbstractEventLoop, parse: Callable[[], None]) -> None:
        """Calls `parse` in its turn, in a later iteration of the loop.

        Args:
            event_loop: The event loop of the connections.
            parse: Parses a bounded part of the input of one connection.
        """
        self._waiting.append(parse)
        if len(self._waiting) == 1:
            event_loop.call_soon(self._take, event_loop)

    def _take(self, event_loop: asyncio.AbstractEventLoop) -> None:
        parse = self._waiting.popleft()
        if self._waiting:
            event_loop.call_soon(self._take, event_loop)
        self._on_turn()
        parse()
