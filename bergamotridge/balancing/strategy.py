"""Interface of the strategies of load balancing, and the data that they take."""

from collections.abc import Hashable, Mapping, Sequence
from typing import Generic, Protocol, TypeVar

import attrs

FULL_LOAD = 1.0  # At this load or above, a further call has to wait at the upstream.


class Upstream(Protocol):
    """The part of an upstream's record that strategies use."""

    @property
    def host(self) -> str:
        """Host of the upstream."""

    @property
    def service(self) -> str:
        """Service that it serves."""

    @property
    def slots(self) -> int:
        """Calls that it can run concurrently."""

    @property
    def load(self) -> float:
        """Fraction of its slots in use as last published to all nodes."""


class Report(Protocol):
    """Load report that came with an answer."""

    @property
    def load(self) -> float:
        """Calls that run or wait at the upstream, divided by `limit`, or more if none may start."""

    @property
    def limit(self) -> int:
        """Calls that may run there at once."""

    @property
    def in_flight(self) -> int:
        """Calls that run there."""

    @property
    def queued(self) -> int:
        """Calls that wait there."""


Candidate = TypeVar("Candidate", bound=Upstream)


@attrs.frozen
class Split(Generic[Candidate]):
    """Upstreams of a service that may be called, by their distance from this node.

    Attributes:
        candidates: All of them.
        own_host: The upstream on the own host, if there is one.
        own_domain: Those on other hosts of the own failure domain.
        others: Those in other failure domains.
        not_near: All except `near`.
    """

    candidates: Sequence[Candidate]
    own_host: Sequence[Candidate]
    own_domain: Sequence[Candidate]
    others: Sequence[Candidate]
    not_near: Sequence[Candidate]

    @property
    def near(self) -> Sequence[Candidate]:
        """The upstream on the own host if there is one, else those in the own failure domain."""
        return self.own_host or self.own_domain


@attrs.frozen
class Answered:
    """How one call to an upstream ended.

    Attributes:
        kind: Equal for calls that take about the same time at upstreams of the same speed.
        completed: True if the upstream ran the call and answered it.
        report: Load report that came with the answer, or None.
        latency_s: Duration of the call in seconds.
        accepted: Whether the upstream took the call, False if it rejected it without running it;
            None if it is not known.
    """

    kind: Hashable
    completed: bool
    report: Report | None
    latency_s: float
    accepted: bool | None = None


@attrs.frozen
class UpstreamView:
    """What a strategy knows of an upstream now.

    Attributes:
        load: Estimated load.
        limit: Calls that may run there at once.
        slowness: Learned slowness, 1.0 is usual.
        accepted: Fraction of calls that it accepts.
    """

    load: float
    limit: int
    slowness: float = 1.0
    accepted: float = 1.0


class Strategy(Protocol):
    """Chooses among the usable upstreams of a service, for use on one event loop.

    All times are monotonic seconds.
    """

    def choose(self, usable: Split[Candidate], now: float) -> Candidate:
        """Returns the upstream to call; all of `usable`, at least one, may be called."""

    def load_of(self, item: Upstream, now: float) -> float:
        """Returns the estimated load of an upstream."""

    def view_of(self, item: Upstream, now: float) -> UpstreamView:
        """Returns what is known of an upstream."""

    def has_recent_report(self, host: str, now: float) -> bool:
        """Returns whether the load of the upstream on a host is known from a recent report."""

    def record_sent(self, item: Upstream, now: float) -> None:
        """Records that a call is sent to an upstream."""

    def record_answer(self, host: str, answered: Answered, now: float) -> None:
        """Records how a call to the upstream on a host ended."""

    def slowness_by_host(self, now: float) -> Mapping[str, float]:
        """Returns the learned slowness of upstreams, 1.0 is usual; called from any thread."""

    def accepted_by_host(self, now: float) -> Mapping[str, float]:
        """Returns the fraction of calls accepted by upstreams that reject some, from any thread."""
