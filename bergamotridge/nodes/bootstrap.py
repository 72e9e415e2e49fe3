"""First addresses of the fleet, kept in the platform for nodes that know no peer."""

import random
import threading
from collections.abc import Callable, Sequence
from concurrent import futures

import attrs
import logbook

from bergamotridge import errors
from bergamotridge.nodes import duty, membership
from bergamotridge.store import client
from bergamotridge.util import backoff

KIND = "nodes"
ADDRESS_KEY = "address"

_log = logbook.Logger(__name__)


@attrs.frozen
class BootstrapTimings:
    """Pace of the task.

    Attributes:
        check_s: Mean seconds between two looks at the membership.
        alone_s: The same while no other node is known.
        stable_s: Seconds that a rank must last before the platform is told.
        backoff_base_s: Bound of the first delay after a failure in seconds.
        backoff_cap_s: Highest bound of the delay in seconds.
    """

    check_s: float = 5.0
    alone_s: float = 1.0
    stable_s: float = 60.0
    backoff_base_s: float = 0.5
    backoff_cap_s: float = 4.0


class Bootstrap:
    """Reads first addresses while this node is alone, and writes its own if its rank is low.

    Each failure domain has an object for each place on duty, so writes do not grow with the fleet
    and happen only when a place passes to another host.
    """

    def __init__(
        self,
        platform: client.ObjectClient,
        members: membership.Membership,
        found: Callable[[Sequence[str]], None],
        on_duty: duty.Duty,
        timings: BootstrapTimings,
        rng: random.Random,
    ) -> None:
        """Prepares the task.

        Args:
            platform: Client of the platform.
            members: Membership of this node.
            found: Is told addresses from the platform.
            on_duty: Places that have an object, a few for each failure domain.
            timings: Pace of the task.
            rng: Source of jitter.
        """
        self._platform = platform
        self._members = members
        self._found = found
        self._duty = on_duty
        self._timings = timings
        self._rng = rng
        self._backoff = backoff.Backoff(timings.backoff_base_s, timings.backoff_cap_s, rng)
        self._written: str | None = None
        self._added = False
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, "bootstrap")

    def start(self) -> None:
        """Starts the task."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Tells the task to end."""
        self._stopping.set()
        self._executor.shutdown(wait=False)

    def _run(self) -> None:
        delay_s = self._rng.uniform(0.0, self._timings.backoff_base_s)
        stable_s, place = 0.0, None
        while not self._stopping.wait(delay_s):
            try:
                current = self._place()
                stable_s = stable_s + delay_s if current == place else 0.0
                place = current
                self._step(place if stable_s >= self._timings.stable_s else None)
                self._backoff.reset()
                alone = len(self._members.members()) == 1
                mean_s = self._timings.alone_s if alone else self._timings.check_s
                delay_s = self._rng.uniform(0.5, 1.5) * mean_s
            except errors.PlatformError as error:
                _log.debug("first addresses: {}", error)
                delay_s = self._backoff.next_delay_s()
            except Exception:
                _log.exception("the task for first addresses failed")
                delay_s = self._timings.check_s

    def _step(self, place: str | None) -> None:
        if len(self._members.members()) == 1:
            self._find()
        if place != self._written:
            if place is not None:
                self._write(place)
            self._written = place

    def _find(self) -> None:
        """Reads the addresses of others; a node that has found nobody adds its own.

        Hosts that boot together all do so, and whoever reads last knows all of them.
        """
        if not self._added:
            self._write(self._members.own.host)
            self._added = True
        self._found(self._read())

    def _place(self) -> str | None:
        place = self._duty.place()
        return None if place is None else f"{self._members.own.failure_domain}.{place}"

    def _read(self) -> list[str]:
        items = self._platform.list(KIND).items
        values = [item.value for item in items if isinstance(item.value, dict)]
        own = self._members.own.control_address
        return [
            value[ADDRESS_KEY]
            for value in values
            if isinstance(value.get(ADDRESS_KEY), str) and value[ADDRESS_KEY] != own
        ]

    def _write(self, place: str) -> None:
        value = {"host": self._members.own.host, ADDRESS_KEY: self._members.own.control_address}
        version = 0
        try:
            stored = self._platform.get(KIND, place)
            if stored.value == value:
                return
            version = stored.version
        except errors.NotFoundError:
            pass
        try:
            self._platform.put(KIND, place, value, version)
        except errors.ConflictError:
            _log.debug("another host took place {}", place)
