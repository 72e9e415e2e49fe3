"""The task that keeps a replica up to date from the platform."""

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
    """When a watch task asks the platform.

    Attributes:
        first_s: Longest delay of the first request in seconds, for hosts that boot together.
        wait_s: Longest wait of one watch in seconds.
        poll_s: Mean time between two reads of a node that leaves the watching to its peers.
        backoff_base_s: Bound of the first delay after a failure in seconds.
        backoff_cap_s: Highest bound of the delay in seconds.
        gap_s: Least time between two requests in seconds, also when changes come fast.
        check_s: Time between two looks at whether this node now has to watch, in seconds.
    """

    first_s: float = 0.4
    wait_s: float = 20.0
    poll_s: float = 120.0
    backoff_base_s: float = 0.2
    backoff_cap_s: float = 1.0
    gap_s: float = 0.2
    check_s: float = 2.0


class Watcher:
    """Watches one kind and feeds a replica, from `start` to `stop`.

    It resumes from the replica's version, so that after an outage one request brings what was
    missed. A node that leaves the watching to its peers still reads now and then.
    """

    def __init__(
        self,
        platform: client.ObjectClient,
        copy: replica.Replica,
        timings: WatchTimings,
        rng: random.Random,
        watches: Callable[[float], bool] = lambda now: True,
    ) -> None:
        """Prepares the task.

        Args:
            platform: Client of the platform; closing it ends a waiting watch.
            copy: Replica to feed.
            timings: When to ask.
            rng: Source of jitter.
            watches: Tells from the present monotonic time whether this node has to watch itself.
        """
        self._platform = platform
        self._replica = copy
        self._timings = timings
        self._rng = rng
        self._watches = watches
        self._backoff = backoff.Backoff(timings.backoff_base_s, timings.backoff_cap_s, rng)
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, f"watch-{copy.kind}")
        self._reachable: bool | None = None
        self._poll_at = 0.0

    @property
    def reachable(self) -> bool | None:
        """Whether the last request was answered, None before the first."""
        return self._reachable

    def start(self) -> None:
        """Starts the task."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Tells the task to end; a waiting watch ends when the client is closed."""
        self._stopping.set()
        self._executor.shutdown(wait=False)

    def _run(self) -> None:
        delay_s = self._rng.uniform(0.0, self._timings.first_s)
        while not self._stopping.wait(delay_s):
            try:
                delay_s = self.ask()
            except Exception:
                _log.exception("watch of {} failed", self._replica.kind)
                delay_s = self._backoff.next_delay_s()

    def ask(self) -> float:
        """Makes one request and returns the seconds until the next."""
        began = time.monotonic()
        watching = self._watches(began)
        if not watching and began < self._poll_at:
            return self._timings.check_s
        self._poll_at = began + self._rng.uniform(0.5, 1.5) * self._timings.poll_s
        wait_s = self._timings.wait_s * self._rng.uniform(0.75, 1.0) if watching else 0.0
        try:
            listing = self._platform.watch(self._replica.kind, self._replica.version, wait_s)
        except errors.PlatformError as error:
            if self._reachable is not False and not self._stopping.is_set():
                _log.warning("the platform does not answer: {}", error)
            self._reachable = False
            return self._backoff.next_delay_s() if watching else self._timings.check_s
        if self._reachable is False:
            _log.info("the platform answers again, {} is read from it", self._replica.kind)
        self._reachable = True
        before = self._replica.version
        self._replica.take(listing)
        if listing.items and self._replica.version == before:
            # Not news, or not of this replica: the next watch would bring it again at once.
            return self._backoff.next_delay_s()
        self._backoff.reset()
        return max(0.0, began + self._timings.gap_s - time.monotonic())
