"""Background task that updates a replica by watching or polling the platform."""

import random
import threading
import time
from collections.abc import Callable
from concurrent import futures

import attrs
import logbook

from bergamotridge import errors
from bergamotridge.store import client, replica
from bergamotridge.util import backoff

_log = logbook.Logger(__name__)


@attrs.frozen
class WatchTimings:
    """Timings of a watch task.

    Attributes:
        max_first_delay_s: Longest delay of the first request in seconds. The delay is random, so
            that hosts which boot together do not all send their first request at once.
        wait_s: Longest wait of one watch in seconds; jitter shortens it.
        poll_s: Mean time in seconds between two polls of a node that leaves watching to its peers.
        backoff_base_s: Upper bound of the first delay after a failure in seconds.
        backoff_cap_s: Highest upper bound of the delay after repeated failures in seconds.
        min_interval_s: Shortest time between the starts of two requests in seconds, also if changes
            arrive faster.
        duty_check_s: Time in seconds between two checks of whether this node now has to watch.
    """

    max_first_delay_s: float = 0.4
    wait_s: float = 20.0
    poll_s: float = 120.0
    backoff_base_s: float = 0.2
    backoff_cap_s: float = 1.0
    min_interval_s: float = 0.2
    duty_check_s: float = 2.0


class Watcher:
    """Watches one kind of objects and updates a replica, from `start` to `stop`.

    Each request starts from the replica's version, so that after an outage one request returns all
    missed changes. A node that leaves watching to its peers still polls, every `poll_s` on average.
    """

    def __init__(
        self,
        platform: client.ObjectClient,
        target: replica.Replica,
        timings: WatchTimings,
        rng: random.Random,
        must_watch: Callable[[float], bool] = lambda now: True,
    ) -> None:
        """Creates the task without starting it.

        Args:
            platform: Client of the platform; closing it ends a watch in progress.
            target: Replica to update.
            timings: Timings of the requests.
            rng: Source of jitter.
            must_watch: Returns whether this node has to watch the platform itself, given the
                current monotonic time in seconds.
        """
        self._platform = platform
        self._replica = target
        self._timings = timings
        self._rng = rng
        self._must_watch = must_watch
        self._backoff = backoff.Backoff(timings.backoff_base_s, timings.backoff_cap_s, rng)
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, f"watch-{target.kind}")
        self._reachable: bool | None = None
        self._next_poll_at = 0.0

    @property
    def reachable(self) -> bool | None:
        """Whether the last request got a response, None before the first."""
        return self._reachable

    def start(self) -> None:
        """Starts the task."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Signals the task to end; a watch in progress ends when the client is closed."""
        self._stopping.set()
        self._executor.shutdown(wait=False)

    def _run(self) -> None:
        delay_s = self._rng.uniform(0.0, self._timings.max_first_delay_s)
        while not self._stopping.wait(delay_s):
            try:
                delay_s = self.request_once()
            except Exception:
                _log.exception(
                    "the watch of {} failed unexpectedly and is retried", self._replica.kind
                )
                delay_s = self._backoff.next_delay_s()

    def request_once(self) -> float:
        """Sends one request if one is due and applies the response to the replica.

        Returns:
            Delay until the next call in seconds.
        """
        started_at = time.monotonic()
        watching = self._must_watch(started_at)
        if not watching and started_at < self._next_poll_at:
            return self._timings.duty_check_s
        self._next_poll_at = started_at + self._rng.uniform(0.5, 1.5) * self._timings.poll_s
        wait_s = self._timings.wait_s * self._rng.uniform(0.75, 1.0) if watching else 0.0
        try:
            listing = self._platform.watch(self._replica.kind, self._replica.version, wait_s)
        except errors.PlatformError as error:
            if self._reachable is not False and not self._stopping.is_set():
                _log.warning("the platform does not answer: {}", error)
            self._reachable = False
            return self._backoff.next_delay_s() if watching else self._timings.duty_check_s
        if self._reachable is False:
            _log.info("the platform answers again, {} is read from it", self._replica.kind)
        self._reachable = True
        version_before = self._replica.version
        self._replica.apply_listing(listing)
        if listing.items and self._replica.version == version_before:
            # The objects were outdated or unknown to the replica, so its version did not change and
            # the next watch would return them again at once.
            return self._backoff.next_delay_s()
        self._backoff.reset()
        return max(0.0, started_at + self._timings.min_interval_s - time.monotonic())
