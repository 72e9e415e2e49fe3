"""The event loop that serves calls, and ways to run and wake its tasks from other threads."""

import asyncio
import atexit
import threading
from collections.abc import Callable, Coroutine
from concurrent import futures

import uvloop

from bergamotridge.util import arrival_batching


class Loop:
    """An asyncio event loop that runs in its own thread.

    Attributes:
        record_arrival: Called on the loop for each arrival of data, so that arrivals can be
            batched.
    """

    def __init__(self, name: str, gather_s: float = 0.0) -> None:
        """Starts the thread and its loop.

        Args:
            name: Name of the thread.
            gather_s: Seconds for which the loop pauses to batch arrivals while they are frequent;
                0 handles each arrival at once.
        """
        self._loop = uvloop.new_event_loop()
        self.record_arrival = (
            arrival_batching.ArrivalBatcher(gather_s, self._loop.call_soon).record_arrival
            if gather_s
            else ignore_arrival
        )
        self._thread = threading.Thread(target=self._run_loop, name=name, daemon=True)
        self._thread.start()
        # If the thread still runs the loop while the interpreter shuts down, the process can crash.
        atexit.register(self.stop)

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def submit(self, coroutine: Coroutine) -> futures.Future:
        """Schedules a coroutine on the loop from another thread and returns its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run(self, coroutine: Coroutine) -> object:
        """Runs a coroutine on the loop from another thread, waits for it and returns its result."""
        return self.submit(coroutine).result()

    def call(self, function: Callable[[], object]) -> object:
        """Calls a function on the loop from another thread and returns its result."""

        async def call_function() -> object:
            return function()

        return self.run(call_function())

    def stop(self) -> None:
        """Stops the loop and joins its thread; unfinished tasks are not cancelled."""
        atexit.unregister(self.stop)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class WakeUpEvent:
    """A one-shot event that ends the wait of the task that created it.

    It may be called from any thread and more than once. A call before `wait` is not lost: `wait`
    then returns at once.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._future = self._loop.create_future()

    def __call__(self) -> None:
        """Ends the current or next `wait`."""
        if asyncio._get_running_loop() is self._loop:
            complete_future(self._future)
        else:
            self._loop.call_soon_threadsafe(complete_future, self._future)

    async def wait(self, timeout_s: float) -> None:
        """Waits until the event is called, for `timeout_s` seconds at most."""
        timer = self._loop.call_later(max(0.0, timeout_s), complete_future, self._future)
        try:
            await self._future
        finally:
            timer.cancel()


def ignore_arrival() -> None:
    """Does nothing; stands in where arrivals are not batched."""


def complete_future(future: asyncio.Future) -> None:
    """Sets the result of a future to None, unless it is done already."""
    if not future.done():
        future.set_result(None)
