"""A call on its way through the fleet: who asked, how important, how long, how many retries."""

import enum

import attrs

CALL_HEADER = "Bergamotridge-Call"
TIMEOUT_HEADER = "Bergamotridge-Timeout-Ms"
CONTEXT_HEADER = "Bergamotridge-Context"
UNUSED_HEADER = "Bergamotridge-Unused-Retries"
REQUEST_ID_HEADER = "Bergamotridge-Request-Id"
OWN_PREFIX = "bergamotridge-"


class Importance(enum.IntEnum):
    """Class of importance; the lower value is shed later."""

    CRITICAL = 0
    STANDARD = 1
    SHEDDABLE = 2


@attrs.frozen
class CallContext:
    """What every node on the path of a call knows about it.

    Attributes:
        request_id: The caller's request that this call is a part of.
        team: Team whose key came with the request, or "" on routes open to all.
        importance: Class of the whole request, given by its first route.
        deadline: Local monotonic time in seconds after which the answer is useless.
        depth: Calls above this one in the request's tree.
        repeatable: True if running this call twice does no harm.
        weight: Share of the team against other teams.
        virtual_host: Host that the caller addressed, "" if routes do not depend on it.
        origin: Service of the host at which the call entered the fleet, "" if unknown.
        unattributed: True if the call belongs to a running request, but to which is not known.
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
        """Returns the seconds until the deadline, negative once it has passed."""
        return self.deadline - now


class Allowance:
    """Retries that one call and everything below it may still spend, split without shared state.

    The invariant: retries spent in a subtree never exceed what was granted to it, because a grant
    is taken from the pool before the call is sent, and only what the callee reports as unused
    comes back. An allowance belongs to the event loop that its call runs on.
    """

    def __init__(self, retries: int) -> None:
        self._retries = max(0, retries)

    @property
    def left(self) -> int:
        """Retries not yet spent or granted."""
        return self._retries

    def spend(self) -> bool:
        """Takes one retry; returns False if none is left."""
        if self._retries == 0:
            return False
        self._retries -= 1
        return True

    def grant(self) -> int:
        """Takes out the larger half for a call further down and returns its size."""
        granted = (self._retries + 1) // 2
        self._retries -= granted
        return granted

    def give_back(self, unused: int, granted: int) -> None:
        """Returns the unused part of a grant; a report above the grant is cut to it."""
        if granted:
            self._retries += min(max(0, unused), granted)

    def drain(self) -> int:
        """Takes out all that is left and returns it; later spends and grants get nothing."""
        left, self._retries = self._retries, 0
        return left
