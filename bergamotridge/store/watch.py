"""Background task that updates a replica from the platform when that falls to this node."""

import random
import threading
from collections.abc import Callable
from concurrent import futures

import attrs
import logbook

from bergamotridge import errors
from bergamotridge.store import client, freshness, read_policy, replica
from bergamotridge.util import backoff, clock

_log = logbook.Logger(__name__)

AGE_JITTER_FRACTION = 0.1  # Keeps nodes from reading at the same moment.


@attrs.frozen
class WatchTimings:
    """Timings of a watch task.

    Attributes:
        max_first_delay_s: Longest delay of the first request in seconds. The delay is random, so
            that hosts which boot together do not all send their first request at once.
        max_age_s: Longest age of the replica in seconds, beyond which this node reads the platform
            itself in any case.
        wait_s: Longest wait of one watch in seconds; jitter shortens it.
        backoff_base_s: Upper bound of the first delay after a failure in seconds.
        backoff_cap_s: Highest upper bound of the delay after repeated failures in seconds, for a
            node that watches for the others.
        min_interval_s: Shortest time between the starts of two requests in seconds, also if changes
            arrive faster.
        max_check_s: Longest time in seconds between two checks of whether a request is due.
    """

    max_first_delay_s: float = 0.4
    max_age_s: float = 5.0
    wait_s: float = 2.0
    backoff_base_s: float = 0.2
    backoff_cap_s: float = 1.0
    min_interval_s: float = 0.2
    max_check_s: float = 1.0


class Watcher:
    """Updates a replica from the platform, from `start` to `stop`.

    A node that watches for the others sends one watch after another. Any other node reads the
    platform only if its replica has not been confirmed to be current for too long.
    """

    def __init__(
        self,
        platform: client.ObjectClient,
        target: replica.Replica,
        known_freshness: freshness.Freshness,
        timings: WatchTimings,
        rng: random.Random,
        read_duty: Callable[[], read_policy.ReadDuty] = lambda: read_policy.ALWAYS_WATCH,
    ) -> None:
        """Creates the task without starting it.

        Args:
            platform: Client of the platform; closing it ends a watch in progress.
            target: Replica to update.
            known_freshness: Receives the time as of which the replica is current.
            timings: Timings of the requests.
            rng: Source of jitter.
            read_duty: Returns what this node has to do now.
        """
        self._platform = platform
        self._replica = target
        self._freshness = known_freshness
        self._timings = timings
        self._rng = rng
        self._read_duty = read_duty
        self._backoff = backoff.Backoff(timings.backoff_base_s, timings.backoff_cap_s, rng)
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, f"watch-{target.kind}")
        self._reachable: bool | None = None
        self._failures = 0
        self._started_at = clock.boot_time()
        self._retry_at = float("-inf")
        self._max_age_s = timings.max_age_s * rng.uniform(1.0 - AGE_JITTER_FRACTION, 1.0)

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
        sent_at = clock.boot_time()
        duty = self._read_duty()
        as_of = self._freshness.as_of(self._replica.kind)
        due_at = read_policy.read_due_at(duty, as_of, self._started_at, self._max_age_s)
        pause_s = max(self._retry_at, due_at) - sent_at
        if pause_s > 0.0:
            return min(pause_s, self._timings.max_check_s)
        wait_s = self._timings.wait_s * self._rng.uniform(0.75, 1.0) if duty.watches else 0.0
        try:
            seen = self._replica.version.seen
            listing = self._platform.watch(self._replica.kind, seen, wait_s)
        except errors.PlatformError as error:
            return self._record_failure(error, duty)
        self._record_success()
        self._replica.apply_listing(listing)
        seen = self._replica.version.seen
        now = clock.boot_time()
        if listing.version >= seen:
            as_of = read_policy.as_of_response(sent_at, wait_s, bool(listing.items), now)
            self._freshness.confirm(self._replica.kind, as_of)
        if listing.reports or any(item.version > seen for item in listing.items):
            # Some objects cannot be read, or the replica has no use for them. The next watch may
            # return them again at once.
            return max(self._backoff.next_delay_s(), self._timings.min_interval_s)
        self._backoff.reset()
        return max(0.0, sent_at + self._timings.min_interval_s - now)

    def _record_success(self) -> None:
        if self._reachable is False:
            _log.info("the platform answers again, {} is read from it", self._replica.kind)
        self._reachable = True
        self._failures = 0
        self._retry_at = float("-inf")

    def _record_failure(self, error: errors.PlatformError, duty: read_policy.ReadDuty) -> float:
        """Logs the first of several failures and returns the delay until the next attempt."""
        if self._reachable is not False and not self._stopping.is_set():
            _log.warning("the platform does not answer: {}", error)
        self._reachable = False
        delay_s = self._backoff.next_delay_s()
        if not duty.watches and self._failures:
            delay_s = max(delay_s, self._rng.uniform(0.5, 1.0) * duty.retry_cap_s)
        self._failures += 1
        self._retry_at = clock.boot_time() + delay_s
        return min(delay_s, self._timings.max_check_s)
