"""Finds all nodes of the fleet from a few, and reads their event rings."""

import concurrent.futures
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from bergamotridge import errors, events
from bergamotridge.operators import status

WORKERS = 16


class Client(Protocol):
    """Reads the operators' port of one node."""

    def status(self) -> status.Status:
        """Returns the node's status; raises OperatorPortError."""

    def events(self, request_id: str = "", since: str = "") -> list[events.Event]:
        """Returns the node's events; raises OperatorPortError."""


Connect = Callable[[str], Client]


@attrs.frozen
class Missing:
    """A node that could not be read.

    Attributes:
        host: Its host, "" if only its address is known.
        address: IP:PORT of its operators' port, "" if that is not known.
        reason: Why it could not be read.
    """

    host: str
    address: str
    reason: str

    def __str__(self) -> str:
        return f"node '{self.host or self.address}': {self.reason}"


@attrs.frozen
class Survey:
    """The nodes that were reached, by address, and those that were not."""

    reached: dict[str, status.Status]
    missing: tuple[Missing, ...]

    @property
    def statuses(self) -> list[status.Status]:
        """Status of each reached node, by host."""
        return sorted(self.reached.values(), key=lambda reached: reached.host)


@attrs.frozen
class History:
    """Events of all nodes that were read, in causal order, and the nodes that were not."""

    events: tuple[events.Event, ...]
    missing: tuple[Missing, ...]


class _Search:
    """Breadth-first search over the members that each reached node names."""

    def __init__(self, connect: Connect) -> None:
        self._connect = connect
        self._hosts: dict[str, str] = {}
        self._reached: dict[str, status.Status] = {}
        self._failed: dict[str, str] = {}
        self._without_port: dict[str, Missing] = {}

    def run(self, first: Iterable[str]) -> Survey:
        pending = list(dict.fromkeys(first))
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            while pending:
                answers = pool.map(self._read, pending)
                for address, answer in zip(pending, answers, strict=True):
                    self._take(address, answer)
                pending = self._unknown()
        return Survey(self._reached, self._missing())

    def _read(self, address: str) -> status.Status | errors.OperatorPortError:
        try:
            return self._connect(address).status()
        except errors.OperatorPortError as error:
            return error

    def _take(self, address: str, answer: status.Status | errors.OperatorPortError) -> None:
        if isinstance(answer, errors.OperatorPortError):
            self._failed[address] = str(answer)
            return
        self._reached[address] = answer
        for member in answer.members:
            if member.operators_address:
                self._hosts.setdefault(member.operators_address, member.host)
            else:
                reason = "its operators' port is not known"
                self._without_port[member.host] = Missing(member.host, "", reason)

    def _unknown(self) -> list[str]:
        return [
            address
            for address in self._hosts
            if address not in self._reached and address not in self._failed
        ]

    def _missing(self) -> tuple[Missing, ...]:
        reached = {answer.host for answer in self._reached.values()}
        missing = {
            address: Missing(self._hosts.get(address, ""), address, reason)
            for address, reason in self._failed.items()
        }
        missing |= self._without_port
        return tuple(item for item in missing.values() if item.host not in reached)


def find(first: Iterable[str], connect: Connect) -> Survey:
    """Asks the nodes at `first` for their status, then all members they name, and so on.

    Args:
        first: Operators' addresses of some nodes.
        connect: Makes the client of an address.
    """
    return _Search(connect).run(first)


def history(survey: Survey, connect: Connect, request_id: str = "", since: str = "") -> History:
    """Reads the rings of all reached nodes and merges them in causal order.

    Args:
        survey: The nodes, from `find`.
        connect: Makes the client of an address.
        request_id: Gives only events of this request, if not "".
        since: Gives only events after this stamp or wall time in milliseconds, if not "".
    """

    def read(address: str) -> list[events.Event] | Missing:
        try:
            return connect(address).events(request_id, since)
        except errors.OperatorPortError as error:
            return Missing(survey.reached[address].host, address, str(error))

    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        answers = list(pool.map(read, survey.reached))
    merged = [event for ring in answers if not isinstance(ring, Missing) for event in ring]
    missing = [answer for answer in answers if isinstance(answer, Missing)]
    return History(
        tuple(sorted(merged, key=lambda event: event.stamp)), (*survey.missing, *missing)
    )
