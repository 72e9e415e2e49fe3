"""Decides when a change that a node was given is known to enough processes to be confirmed.

A node that confirms what only its own memory holds forgets it if it is killed right then. So it
asks other nodes to take the change first, in other failure domains before its own, and has the
platform store it. This module opens no connection; its caller sends and reports the outcomes.
"""

import collections
from collections.abc import Sequence

import attrs

MAX_ASKED_AT_ONCE = 4
WITHIN_S = 2.0  # Of what operators ask for; their client waits for it beyond its time limit.


@attrs.frozen
class Place:
    """Where a process runs that can know of a change.

    Attributes:
        host: Name of the host.
        failure_domain: Failure domain of the host.
    """

    host: str
    failure_domain: str


@attrs.frozen
class Requirement:
    """When a change counts as known to enough processes.

    Attributes:
        nodes: Number of nodes that know of it, the one that confirms included.
        failure_domains: Number of failure domains in which these nodes are.
        within_s: Seconds after which the change is confirmed with whatever was reached.
    """

    nodes: int
    failure_domains: int
    within_s: float


@attrs.frozen
class Knowledge:
    """Who knew of a change when it was confirmed.

    Attributes:
        known_by: The nodes that know of it, the one that confirmed it first.
        stored: True if the platform has confirmed that it stored the change.
        cause: Why it is not known whether the platform stored it, "" if it did.
    """

    known_by: tuple[Place, ...] = ()
    stored: bool = False
    cause: str = ""

    @property
    def failure_domains(self) -> frozenset[str]:
        """Failure domains of the nodes that know of the change."""
        return frozenset(place.failure_domain for place in self.known_by)

    @property
    def outlives_a_process(self) -> bool:
        """True if the change is not forgotten with any single process."""
        return self.stored or len(self.known_by) > 1


class Confirmation:
    """Who is asked to take one change, who has it, and whether they are enough.

    Not safe for use from several threads.
    """

    def __init__(
        self, own: Place, others: Sequence[Place], requirement: Requirement, now: float
    ) -> None:
        """Starts with a change that only the own process knows.

        Args:
            own: Place of the node that is to confirm the change.
            others: Places of other nodes; among equally useful ones, the first are asked first.
            requirement: Who has to know of the change.
            now: Monotonic time in seconds.
        """
        self._known = [own]
        self._waiting = list(others)
        self._asked: list[Place] = []
        self._requirement = requirement
        self._deadline = now + requirement.within_s
        self._store_answered = False
        self._stored, self._cause = False, "it did not answer in time"

    def remaining_s(self, now: float) -> float:
        """Returns the seconds until the change is confirmed whoever knows of it."""
        return max(0.0, self._deadline - now)

    def choose_next(self, now: float) -> Sequence[Place]:
        """Returns the places to ask now; each is returned once."""
        chosen: list[Place] = []
        while (
            self._waiting
            and len(self._asked) < MAX_ASKED_AT_ONCE
            and not self._are_enough()
            and now < self._deadline
        ):
            place = self._most_useful()
            self._waiting.remove(place)
            self._asked.append(place)
            chosen.append(place)
        return chosen

    def record_answer(self, place: Place, knows: bool) -> None:
        """Records whether a place that was asked has confirmed that it has the change."""
        self._asked.remove(place)
        if knows:
            self._known.append(place)

    def record_store(self, stored: bool, cause: str = "") -> None:
        """Records whether the platform has confirmed that it stored the change.

        Args:
            stored: True if it has.
            cause: Why not.
        """
        self._store_answered, self._stored, self._cause = True, stored, cause

    def is_decided(self, now: float) -> bool:
        """Returns True once the change is to be confirmed."""
        if now >= self._deadline:
            return True
        nobody_left = not self._waiting and not self._asked
        return self._store_answered and (self._are_enough() or nobody_left)

    def knowledge(self) -> Knowledge:
        """Returns who is known to have the change."""
        return Knowledge(tuple(self._known), self._stored, self._cause)

    def _are_enough(self) -> bool:
        domains = {place.failure_domain for place in self._known}
        return (
            len(self._known) >= self._requirement.nodes
            and len(domains) >= self._requirement.failure_domains
        )

    def _most_useful(self) -> Place:
        """Returns the first waiting place whose failure domain has the fewest known or asked."""
        counts = collections.Counter(place.failure_domain for place in (*self._known, *self._asked))
        return min(self._waiting, key=lambda place: counts[place.failure_domain])
