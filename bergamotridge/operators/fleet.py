"""Finds all nodes of the fleet from the addresses of a few, and reads their event rings."""

import concurrent.futures
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from bergamotridge import errors, events
from bergamotridge.operators import status

MAX_CONCURRENT_REQUESTS = 16


class Client(Protocol):
    """Interface of a client of one node's operators' port."""

    def status(self) -> status.Status:
        """Returns the node's status; raises OperatorPortError."""

    def events(self, request_id: str = "", since: str = "") -> list[events.Event]:
        """Returns the node's events; raises OperatorPortError."""


ClientFactory = Callable[[str], Client]


@attrs.frozen
class MissingNode:
    """A node that could not be read.

    Attributes:
        host: Its host, "" if only its address is known.
        address: IP:PORT of its operators' port, "" if that is not known.
        reason: Error because of which it could not be read.
    """

    host: str
    address: str
    reason: str

    def __str__(self) -> str:
        return f"node '{self.host or self.address}': {self.reason}"


@attrs.frozen
class Survey:
    """Result of a search for the nodes of the fleet.

    Attributes:
        reached: Status of each node that answered, by operators' address.
        missing: Nodes that are known but did not answer.
    """

    reached: dict[str, status.Status]
    missing: tuple[MissingNode, ...]

    @property
    def statuses(self) -> list[status.Status]:
        """Status of each reached node, sorted by host."""
        return sorted(self.reached.values(), key=lambda reached: reached.host)


@attrs.frozen
class History:
    """Events of the fleet.

    Attributes:
        events: Events of all nodes that were read, in causal order.
        missing: Nodes whose events could not be read.
    """

    events: tuple[events.Event, ...]
    missing: tuple[MissingNode, ...]


class _Search:
    """Breadth-first search over the members that each reached node lists."""

    def __init__(self, connect: ClientFactory) -> None:
        self._connect = connect
        self._hosts: dict[str, str] = {}
        self._reached: dict[str, status.Status] = {}
        self._failed: dict[str, str] = {}
        self._without_port: dict[str, MissingNode] = {}

    def run(self, seed_addresses: Iterable[str]) -> Survey:
        pending = list(dict.fromkeys(seed_addresses))
        with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
            while pending:
                answers = pool.map(self._read, pending)
                for address, answer in zip(pending, answers, strict=True):
                    self._add_answer(address, answer)
                pending = self._unvisited_addresses()
        return Survey(self._reached, self._missing_nodes())

    def _read(self, address: str) -> status.Status | errors.OperatorPortError:
        try:
            return self._connect(address).status()
        except errors.OperatorPortError as error:
            return error

    def _add_answer(self, address: str, answer: status.Status | errors.OperatorPortError) -> None:
        if isinstance(answer, errors.OperatorPortError):
            self._failed[address] = str(answer)
            return
        self._reached[address] = answer
        for member in answer.members:
            if member.operators_address:
                self._hosts.setdefault(member.operators_address, member.host)
            else:
                reason = "its operators' port is not known"
                self._without_port[member.host] = MissingNode(member.host, "", reason)

    def _unvisited_addresses(self) -> list[str]:
        return [
            address
            for address in self._hosts
            if address not in self._reached and address not in self._failed
        ]

    def _missing_nodes(self) -> tuple[MissingNode, ...]:
        reached = {answer.host for answer in self._reached.values()}
        missing = {
            address: MissingNode(self._hosts.get(address, ""), address, reason)
            for address, reason in self._failed.items()
        }
        missing |= self._without_port
        return tuple(item for item in missing.values() if item.host not in reached)


def find_nodes(seed_addresses: Iterable[str], connect: ClientFactory) -> Survey:
    """Reads the status of some nodes, then of all members that they list, and so on.

    Args:
        seed_addresses: Operators' addresses of the nodes at which the search starts.
        connect: Returns a client for an operators' address.
    """
    return _Search(connect).run(seed_addresses)


def read_history(
    survey: Survey, connect: ClientFactory, request_id: str = "", since: str = ""
) -> History:
    """Reads the event rings of all reached nodes and merges them in causal order.

    Args:
        survey: The nodes, from `find_nodes`.
        connect: Returns a client for an operators' address.
        request_id: Returns only events of this request, if not "".
        since: Returns only events after this stamp or wall time in milliseconds, if not "".
    """

    def read(address: str) -> list[events.Event] | MissingNode:
        try:
            return connect(address).events(request_id, since)
        except errors.OperatorPortError as error:
            return MissingNode(survey.reached[address].host, address, str(error))

    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
        answers = list(pool.map(read, survey.reached))
    merged = [event for ring in answers if not isinstance(ring, MissingNode) for event in ring]
    missing = [answer for answer in answers if isinstance(answer, MissingNode)]
    return History(
        tuple(sorted(merged, key=lambda event: event.stamp)), (*survey.missing, *missing)
    )
