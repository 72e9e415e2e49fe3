"""The event loop on which calls run, and ways into it from other threads."""

import asyncio
import atexit
import threading
from collections.abc import Callable, Coroutine
from concurrent import futures

import uvloop

from bergamotridge.util import gathering


class Loop:
    """An asyncio event loop in a thread of its own."""

    def __init__(self, name: str, gather_s: float = 0.0) -> None:
        """Starts the thread.

        Args:
            name: Name of the thread.
            gather_s: Seconds for which the loop gathers arrivals while they are frequent, 0 to
                handle each at once.
        """
        self._loop = uvloop.new_event_loop()
        self.note = gathering.Gathering(gather_s, self._loop.call_soon).note if gather_s else ignore
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()
        # A thread that runs the loop while the interpreter ends can crash the process.
        atexit.register(self.stop)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def submit(self, work: Coroutine) -> futures.Future:
        """Starts a task on the loop and returns its future."""
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def run(self, work: Coroutine) -> object:
        """Runs a task on the loop, waits for it and returns its result."""
        return self.submit(work).result()

    def call(self, function: Callable[[], object]) -> object:
        """Calls a function on the loop, waits for it and returns its result."""

        async def work() -> object:
            return function()

        return self.run(work())

    def stop(self) -> None:
        """Ends the loop; tasks that still run are left where they are."""
        atexit.unregister(self.stop)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class Wake:
    """Wakes the task that made it; may be called from any thread, also before the wait."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._future = self._loop.create_future()

    def __call__(self) -> None:
        """Ends the wait."""
        if asyncio._get_running_loop() is self._loop:
            settle(self._future)
        else:
            self._loop.call_soon_threadsafe(settle, self._future)

    async def wait(self, timeout_s: float) -> None:
        """Waits for the call, for `timeout_s` seconds at most."""
        timer = self._loop.call_later(max(0.0, timeout_s), settle, self._future)
        try:
            await self._future
        finally:
            timer.cancel()


def ignore() -> None:
    """Takes no note of an arrival."""


def settle(future: asyncio.Future) -> None:
    """Ends the wait for a future, unless it has ended."""
    if not future.done():
        future.set_result(None)
