"""Header names, context and retry allowance of a call on its path through the fleet."""

import enum

import attrs

CALL_HEADER = "Bergamotridge-Call"
TIMEOUT_HEADER = "Bergamotridge-Timeout-Ms"
CONTEXT_HEADER = "Bergamotridge-Context"
UNUSED_HEADER = "Bergamotridge-Unused-Retries"
REQUEST_ID_HEADER = "Bergamotridge-Request-Id"
HEADER_PREFIX = "bergamotridge-"


class Importance(enum.IntEnum):
    """Class of importance; calls of a class with a lower value are shed later."""

    CRITICAL = 0
    STANDARD = 1
    SHEDDABLE = 2


@attrs.define
class CallContext:
    """Properties of a call that are passed to every node on its path.

    Attributes:
        request_id: Id of the caller's request that this call is a part of.
        team: Team whose key authenticated the request, or "" on routes that need no key.
        importance: Class of the whole request, set by the route that the request matched first.
        deadline: Local monotonic time in seconds after which the answer is of no use to the
            caller.
        depth: Number of calls above this one in the request's call tree.
        repeatable: True if the call is safe to run more than once.
        weight: Weight of the team relative to other teams.
        virtual_host: Host name that the caller addressed, "" if routes do not depend on it.
        origin: Service of the host at which the call entered the fleet, "" if unknown.
        unattributed: True if it is not known to which running request the call belongs.
    """

    request_id: str
    team: str
    importance: Importance
    deadline: float
    depth: int
    repeatable: bool
    weight: float = 1.0
    virtual_host: str = ""
    origin: str = ""
    unattributed: bool = False

    def time_left(self, now: float) -> float:
        """Returns the seconds until the deadline, negative once the deadline has passed.

        Args:
            now: Local monotonic time in seconds.
        """
        return self.deadline - now


class Allowance:
    """Retries that one call and all calls below it may still spend, split without shared state.

    Invariant: the retries spent in a subtree never exceed the number granted to it. A grant is
    subtracted from the allowance before the call is sent, and only the number that the callee
    reports as unused is added back. An allowance is not thread-safe: it may only be used on the
    event loop that runs its call.
    """

    def __init__(self, retries: int) -> None:
        self._retries = max(0, retries)

    @property
    def left(self) -> int:
        """Retries not yet spent or granted."""
        return self._retries

    def spend(self) -> bool:
        """Takes one retry from the allowance; returns False if none is left."""
        if self._retries == 0:
            return False
        self._retries -= 1
        return True

    def grant(self) -> int:
        """Takes half of the retries, rounded up, for a call further down; returns their number."""
        granted = (self._retries + 1) // 2
        self._retries -= granted
        return granted

    def give_back(self, unused: int, granted: int) -> None:
        """Adds the unused part of a grant back to the allowance.

        Args:
            unused: Retries that the callee reports as unused; at most `granted` are added.
            granted: Number that `grant` returned for the call.
        """
        if granted:
            self._retries += min(max(0, unused), granted)

    def drain(self) -> int:
        """Takes all retries that are left and returns their number.

        Later calls of `spend` and `grant` get none.
        """
        left, self._retries = self._retries, 0
        return left
