"""Seed addresses of the fleet, stored in the platform for nodes that know no peer."""

import random
import threading
from collections.abc import Callable, Sequence
from concurrent import futures

import attrs
import logbook

from bergamotridge import errors, malformed
from bergamotridge.nodes import membership, watch_election
from bergamotridge.store import client, position
from bergamotridge.util import addresses, backoff, fields

KIND = "nodes"
ADDRESS_KEY = "address"
# New addresses, of which one may be that of an ended node, that keep a node from writing its own.
MIN_ADDRESSES = 2
MAX_FIRST_DELAY_S = 0.2  # Spreads the first reads of hosts that boot together.

_log = logbook.Logger(__name__)


@attrs.frozen
class BootstrapTimings:
    """Intervals of the task.

    Attributes:
        check_s: Mean seconds between two checks of the membership.
        alone_s: Mean seconds between two reads while no other node is known.
        stable_s: Seconds for which the rank of this node must be unchanged before its address is
            written under that rank.
        backoff_base_s: Upper bound of the first delay after a failure in seconds.
        backoff_cap_s: Maximum of that upper bound after further failures in seconds.
        first_writers_fraction: Fraction of the nodes that write their address as soon as they find
            none; the others look for addresses again first.
        reads_before_write: Reads after which a node that finds no other writes its address.
    """

    check_s: float = 5.0
    alone_s: float = 0.4
    stable_s: float = 5.0
    backoff_base_s: float = 0.5
    backoff_cap_s: float = 4.0
    first_writers_fraction: float = 0.07
    reads_before_write: int = 3


class Bootstrap:
    """Reads seed addresses while this node has no record of another, and writes its own address.

    Each failure domain has one object for each elected rank, so the number of writes does not grow
    with the fleet, and a write is needed only when another host takes a rank. When a fleet starts
    for the first time, no address is stored and no node is elected yet. Then a few nodes chosen at
    random write theirs at once, and the others find them.
    """

    def __init__(
        self,
        platform: client.ObjectClient,
        members: membership.Membership,
        on_addresses: Callable[[Sequence[str]], None],
        election: watch_election.WatchElection,
        timings: BootstrapTimings,
        rng: random.Random,
        on_malformed: malformed.OnMalformed = malformed.ignore,
        read_epoch: Callable[[], int] = lambda: 0,
    ) -> None:
        """Creates the task without starting it.

        Args:
            platform: Client of the platform.
            members: Membership of this node.
            on_addresses: Callback that receives the addresses read from the platform.
            election: Gives the rank of this node if it is elected; each such rank has an object.
            timings: Intervals of the task.
            rng: Source of jitter.
            on_malformed: Called with a report of each object without a usable address.
            read_epoch: Returns the latest known epoch of the platform's store; when it rises, the
                store was restored from a copy and may lack this node's address.
        """
        self._read_epoch = read_epoch
        self._written_epoch = read_epoch()
        self._platform = platform
        self._on_malformed = on_malformed
        self._members = members
        self._on_addresses = on_addresses
        self._election = election
        self._timings = timings
        self._rng = rng
        self._backoff = backoff.Backoff(timings.backoff_base_s, timings.backoff_cap_s, rng)
        self._written_name: str | None = None
        self._reads_alone = 0
        self._has_announced = False
        self._is_first_writer = rng.random() < timings.first_writers_fraction
        self._stopping = threading.Event()
        self._executor = futures.ThreadPoolExecutor(1, "bootstrap")

    def start(self) -> None:
        """Starts the task."""
        self._executor.submit(self._run)

    def stop(self) -> None:
        """Signals the task to end; does not wait for it."""
        self._stopping.set()
        self._executor.shutdown(wait=False)

    def _run(self) -> None:
        delay_s = self._rng.uniform(0.0, MAX_FIRST_DELAY_S)
        stable_s, name = 0.0, None
        while not self._stopping.wait(delay_s):
            try:
                current_name = self._address_object_name()
                stable_s = stable_s + delay_s if current_name == name else 0.0
                name = current_name
                self._update(name if stable_s >= self._timings.stable_s else None)
                self._backoff.reset()
                is_alone = len(self._members.members()) == 1
                mean_s = self._timings.alone_s if is_alone else self._timings.check_s
                delay_s = self._rng.uniform(0.5, 1.5) * mean_s
            except errors.PlatformError as error:
                _log.debug(
                    "cannot read or write the seed addresses in the platform, retrying: {}", error
                )
                delay_s = self._backoff.next_delay_s()
            except Exception:
                _log.exception("updating the seed addresses failed")
                delay_s = self._timings.check_s

    def _update(self, name: str | None) -> None:
        epoch = self._read_epoch()
        if epoch != self._written_epoch:
            self._written_epoch = epoch
            self._written_name = None
            self._has_announced = False
        if len(self._members.members()) == 1:
            self._discover_peers()
        if name != self._written_name:
            if name is not None and not self._put(name, position.START):
                self._write(name)
            self._written_name = name

    def _discover_peers(self) -> None:
        """Reads the addresses of other nodes, and writes the own address if there seem to be none.

        The address is written at most once, and read before and after that: hosts that boot
        together write at about the same time, so the one that reads last gets all addresses.
        """
        found = self._read(eventual=True)
        self._reads_alone += 1
        should_write = self._is_first_writer and not found
        if self._reads_alone > self._timings.reads_before_write and not self._has_announced:
            # Hosts that booted together may have written theirs since what the first read returned.
            outdated, found = found, self._read(eventual=False)
            should_write = len(found) < MIN_ADDRESSES or set(found) <= set(outdated)
        if should_write and not self._has_announced:
            self._has_announced = True
            self._announce()
            found = list(dict.fromkeys([*found, *self._read(eventual=False)]))
        self._on_addresses(found)

    def _announce(self) -> None:
        """Writes the own address under a rank at random; an address that is stored there stays.

        After several reads without a peer, the stored addresses are those of hosts that are gone,
        and are replaced.
        """
        own = self._members.own
        name = f"{own.failure_domain}.{self._rng.randrange(self._election.nodes_per_domain)}"
        if self._reads_alone > self._timings.reads_before_write:
            self._write(name)
        else:
            self._put(name, position.START)

    def _address_object_name(self) -> str | None:
        place = self._election.place()
        return None if place is None else f"{self._members.own.failure_domain}.{place}"

    def _read(self, *, eventual: bool) -> list[str]:
        items = self._platform.list(KIND, eventual=eventual).items
        own = self._members.own.control_address
        found = [self._read_address(item) for item in items]
        return [address for address in found if address not in (None, own)]

    def _read_address(self, item: client.StoredObject) -> str | None:
        """Returns the address in an object, None if it has none that can be used."""
        try:
            address = fields.table("the object", item.value).get(ADDRESS_KEY)
            addresses.parse(address)
        except errors.MalformedEntryError as error:
            self._on_malformed(malformed.MalformedEntry(KIND, item.name, error))
            return None
        return address

    def _write(self, name: str) -> None:
        try:
            stored = self._platform.get(KIND, name)
            if stored.value == self._own_value():
                return
            version = stored.version
        except errors.NotFoundError as error:
            version = error.version
        self._put(name, version)

    def _put(self, name: str, version: position.Position) -> bool:
        """Writes the own address; returns False if the object has another version."""
        try:
            written = self._platform.put(KIND, name, self._own_value(), version)
            _log.info("seed address written to {}, version {}", name, written)
        except errors.ConflictError:
            _log.debug("object {} has the address of another host", name)
            return False
        return True

    def _own_value(self) -> dict[str, str]:
        own = self._members.own
        return {"host": own.host, ADDRESS_KEY: own.control_address}
