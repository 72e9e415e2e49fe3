"""Load balancing: chooses the upstream that a call is sent to."""

import collections
import enum
import random
from collections.abc import Callable, Collection, Hashable, Sequence

import attrs

from bergamotridge.balancing import least_loaded, strategy
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import outcome

FAILURES_TO_EJECT = 3  # In a row, without an answer between them.
FIRST_EJECTION_S = 0.5  # Doubles with each further ejection.
MAX_EJECTION_S = 5.0
RAMP_UP_S = 2.0
# Fraction of calls for which a host may be chosen when its ramp-up starts.
RAMP_UP_START_FRACTION = 0.1
PROBE_TIMEOUT_S = 5.0
PREVIEW_DRAWS = 200
FAILURE_OUTCOMES = (
    outcome.Outcome.FAILED,
    outcome.Outcome.TIMED_OUT,
    outcome.Outcome.REFUSED,
    outcome.Outcome.UNREACHABLE,
)


@attrs.define
class _HostHealth:
    """Failures of one host as observed in calls from this node.

    All times are monotonic seconds.

    Attributes:
        failures: Failures since the last answer that counted as a success.
        ejections: Ejections since the host last stayed healthy for longer than `RAMP_UP_S`.
        ejected_until: When probes may start; -inf unless the host is ejected.
        probing: True while a probe is on its way.
        probed_at: When the last probe was sent.
        returned_at: When a probe last succeeded, the start of the ramp-up.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    probing: bool = False
    probed_at: float = float("-inf")
    returned_at: float = float("-inf")

    @property
    def is_ejected(self) -> bool:
        """True from an ejection until a probe succeeds."""
        return self.ejections > 0 and self.ejected_until > float("-inf")


def _timed_out_with_report(result: outcome.Outcome, report: load.LoadReport | None) -> bool:
    """Returns whether a call timed out although its gate answered with a report.

    A gate that answers is working: its calls also time out when other services are slow.
    """
    return result is outcome.Outcome.TIMED_OUT and report is not None


@attrs.frozen
class _CachedSplit:
    """The ready upstreams of a service, split by distance.

    Attributes:
        candidates: The records that were split; the split is valid for this object only.
        split: The split.
        hosts: Hosts of the ready upstreams.
    """

    candidates: Sequence[record.UpstreamRecord]
    split: strategy.Split[record.UpstreamRecord]
    hosts: frozenset[str]


class Distance(enum.Enum):
    """How far from this node a chosen upstream is."""

    OWN_HOST = "own-host"
    OWN_DOMAIN = "own-domain"
    OTHER_DOMAIN = "other-domain"


@attrs.frozen
class CandidateView:
    """An upstream as this node would choose or leave it out now.

    Attributes:
        record: Its record.
        distance: How far from this node it is.
        is_ejected: True if it gets single probes only.
        view: What the balancing knows of it.
        chance: Fraction of the draws in which it was chosen.
    """

    record: record.UpstreamRecord
    distance: Distance
    is_ejected: bool
    view: strategy.UpstreamView
    chance: float


class UpstreamChooser:
    """Chooses among the upstreams of a service, for use on one event loop.

    A strategy chooses among the upstreams that are usable. This class decides which ones are.

    An upstream that fails repeatedly or cannot be reached is ejected and then probed with single
    calls. After a successful probe, its share of the traffic rises to the full one over
    `RAMP_UP_S`.
    """

    def __init__(
        self,
        own_host: str,
        own_failure_domain: str,
        own_region: str,
        rng: random.Random,
        balancing: strategy.Strategy | None = None,
        on_chosen: Callable[[Distance], None] = lambda distance: None,
    ) -> None:
        """Creates a chooser without any observed failure.

        Args:
            own_host: Host of this node.
            own_failure_domain: Failure domain of this node.
            own_region: Region of this node.
            rng: Source of random numbers.
            balancing: Chooses among usable upstreams; `LeastLoaded` if None.
            on_chosen: Called for each call that is to be sent.
        """
        self._balancing = balancing or least_loaded.LeastLoaded(rng)
        self._on_chosen = on_chosen
        self._own_host = own_host
        self._own_failure_domain = own_failure_domain
        self._own_region = own_region
        self._rng = rng
        self._hosts: dict[str, _HostHealth] = {}
        self._unhealthy: dict[str, _HostHealth] = {}
        self._splits: dict[str, _CachedSplit] = {}

    def choose(
        self,
        candidates: Sequence[record.UpstreamRecord],
        excluded: Collection[str],
        now: float,
        may_probe: bool = True,
    ) -> record.UpstreamRecord | None:
        """Returns the upstream to call, or None if there is none.

        Args:
            candidates: Records of the service's upstreams.
            excluded: Hosts to which this call was already sent.
            now: Monotonic time in seconds.
            may_probe: False if the call must not be repeated elsewhere after a failure. Such a
                call probes an ejected upstream only if no other call has probed it in the
                `MAX_EJECTION_S` since a probe became due.
        """
        if not candidates:
            return None
        cached = self._cached_split(candidates)
        if excluded or any(host in cached.hosts for host in self._unhealthy):
            ready = [
                item
                for item in candidates
                if item.state is record.State.READY and item.host not in excluded
            ]
            if not ready:
                return None
            chosen = self._choose_probe(ready, now, may_probe) or self._choose_usable(ready, now)
        else:
            if not cached.hosts:
                return None
            chosen = self._balancing.choose(cached.split, now)
        self._record_chosen(chosen, now)
        return chosen

    def choose_with_room(
        self,
        candidates: Sequence[record.UpstreamRecord],
        excluded: Collection[str],
        now: float,
    ) -> record.UpstreamRecord | None:
        """Returns the upstream of the least load if a report of now says that it has room.

        Args:
            candidates: Records of the service's upstreams.
            excluded: Hosts to which this call was already sent.
            now: Monotonic time in seconds.
        """
        known = [
            item
            for item in candidates
            if item.state is record.State.READY
            and item.host not in excluded
            and self._balancing.has_recent_report(item.host, now)
            and self._accepts_call(item, now)
        ]
        load_of = self._balancing.load_of
        chosen = min(known, key=lambda item: load_of(item, now), default=None)
        if chosen is None or load_of(chosen, now) >= strategy.FULL_LOAD:
            return None
        self._record_chosen(chosen, now)
        return chosen

    def preview(
        self, candidates: Sequence[record.UpstreamRecord], now: float
    ) -> list[CandidateView]:
        """Returns the ready upstreams of a service and how often each would be chosen now.

        Nothing is recorded, and no probe is taken.
        """
        ready = [item for item in candidates if item.state is record.State.READY]
        drawn = collections.Counter(
            self._choose_usable(ready, now).host for _ in range(PREVIEW_DRAWS if ready else 0)
        )
        return [
            CandidateView(
                item,
                self._distance_of(item),
                self._health(item.host).is_ejected,
                self._balancing.view_of(item, now),
                drawn[item.host] / PREVIEW_DRAWS,
            )
            for item in ready
        ]

    def record_outcome(
        self,
        host: str,
        result: outcome.Outcome,
        report: load.LoadReport | None,
        latency_s: float,
        now: float,
        kind: Hashable = "",
        accepted: bool | None = None,
    ) -> None:
        """Records how a call to `host` ended.

        Args:
            host: Host that `choose` returned.
            result: Outcome of the call.
            report: Load report that came with the answer, or None.
            latency_s: Duration of the call in seconds.
            now: Monotonic time in seconds.
            kind: Kind of the call; see `strategy.Answered`.
            accepted: Whether the upstream took the call; see `strategy.Answered`.
        """
        health = self._health(host)
        completed = result is outcome.Outcome.OK
        self._balancing.record_answer(
            host, strategy.Answered(kind, completed, report, latency_s, accepted), now
        )
        if result in FAILURE_OUTCOMES and not _timed_out_with_report(result, report):
            self._unhealthy[host] = health
            self._record_failure(health, now, eject_at_once=result is outcome.Outcome.UNREACHABLE)
        elif host in self._unhealthy:
            if result is outcome.Outcome.CANCELLED:
                health.probing = False
            else:
                self._record_answer(health, now)
                if not health.is_ejected and now - health.returned_at >= RAMP_UP_S:
                    del self._unhealthy[host]

    def _record_chosen(self, chosen: record.UpstreamRecord, now: float) -> None:
        self._balancing.record_sent(chosen, now)
        self._on_chosen(self._distance_of(chosen))

    def _distance_of(self, item: record.UpstreamRecord) -> Distance:
        if item.host == self._own_host:
            return Distance.OWN_HOST
        if item.failure_domain == self._own_failure_domain:
            return Distance.OWN_DOMAIN
        return Distance.OTHER_DOMAIN

    def _health(self, host: str) -> _HostHealth:
        health = self._hosts.get(host)
        if health is None:
            health = self._hosts[host] = _HostHealth()
        return health

    def _record_failure(self, health: _HostHealth, now: float, eject_at_once: bool) -> None:
        health.failures += 1
        if eject_at_once or health.probing or health.failures >= FAILURES_TO_EJECT:
            ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
            if health.probing or not health.is_ejected:
                health.ejections += 1
                health.ejected_until = now + ejection_s * self._rng.uniform(0.8, 1.2)
            health.probing = False

    def _record_answer(self, health: _HostHealth, now: float) -> None:
        if health.is_ejected and not health.probing:
            return
        if health.probing:
            health.ejected_until = float("-inf")
            health.returned_at = now
        if now - health.returned_at > RAMP_UP_S:
            health.ejections = 0
        health.probing = False
        health.failures = 0

    def _choose_probe(
        self, ready: Sequence[record.UpstreamRecord], now: float, may_probe: bool
    ) -> record.UpstreamRecord | None:
        """Returns an ejected upstream for which a probe is due, marked as probed, or None."""
        extra_wait_s = 0.0 if may_probe else MAX_EJECTION_S
        for item in ready:
            health = self._health(item.host)
            due = now >= health.ejected_until + extra_wait_s
            timed_out = health.probing and now >= health.probed_at + PROBE_TIMEOUT_S
            if health.is_ejected and due and (timed_out or not health.probing):
                health.probing = True
                health.probed_at = now
                return item
        return None

    def _choose_usable(
        self, ready: Sequence[record.UpstreamRecord], now: float
    ) -> record.UpstreamRecord | None:
        """Returns an upstream that is not ejected, or a random one if all are ejected."""
        usable = [item for item in ready if self._accepts_call(item, now)]
        if not usable:
            usable = [item for item in ready if not self._health(item.host).is_ejected]
        if not usable:
            return self._rng.choice(ready) if ready else None
        return self._balancing.choose(self._split_by_distance(usable), now)

    def _cached_split(self, candidates: Sequence[record.UpstreamRecord]) -> _CachedSplit:
        """Returns the ready candidates of a service, split by distance.

        The split is cached, because the candidates of a service change rarely.
        """
        service = candidates[0].service
        cached = self._splits.get(service)
        if cached is None or cached.candidates is not candidates:
            ready = [item for item in candidates if item.state is record.State.READY]
            hosts = frozenset(item.host for item in ready)
            cached = _CachedSplit(candidates, self._split_by_distance(ready), hosts)
            self._splits[service] = cached
        return cached

    def _split_by_distance(
        self, usable: Sequence[record.UpstreamRecord]
    ) -> strategy.Split[record.UpstreamRecord]:
        own_host, own_domain, others = [], [], []
        for item in usable:
            if item.failure_domain != self._own_failure_domain:
                others.append(item)
            elif item.host == self._own_host:
                own_host.append(item)
            else:
                own_domain.append(item)
        not_near = [item for item in usable if item is not own_host[0]] if own_host else others
        return strategy.Split(usable, own_host, own_domain, others, not_near)

    def _accepts_call(self, item: record.UpstreamRecord, now: float) -> bool:
        """Returns whether `item` may be chosen; random while its traffic ramps up."""
        health = self._health(item.host)
        if health.is_ejected:
            return False
        fraction = (
            RAMP_UP_START_FRACTION
            + (1.0 - RAMP_UP_START_FRACTION) * (now - health.returned_at) / RAMP_UP_S
        )
        return fraction >= 1.0 or self._rng.random() < fraction
