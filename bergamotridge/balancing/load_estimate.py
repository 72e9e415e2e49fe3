"""Load of each upstream as estimated at one node from reports and the node's own calls."""

import collections
import math

import attrs

from bergamotridge.balancing import strategy

FRESH_S = 0.1  # Up to this age a report counts in full.
# Time constant with which the weight of a report falls beyond `FRESH_S`. Calls take tenths of a
# second, after which an upstream runs others than those that were reported.
REPORT_DECAY_S = 0.4
MEAN_DECAY_S = 0.3  # Time constant of the weight of reports by age in the mean of a service.
MEAN_INTERVAL_S = 0.05  # Least time between two computations of that mean.
MEAN_TTL_S = 5.0  # Without any report of the service in this time, the published load counts.
# The shortest call to a host is the round trip plus the work of that call, so that it is no better
# estimate of the round trip than this bound, which covers the event loops of two busy nodes.
MAX_TRANSIT_S = 0.02
MIN_LOAD_WEIGHT = 0.01  # Reports of less weight, alone or in a mean together, have no effect.
FORGET_S = 60.0  # Without a report or a call under way in this time, a host is forgotten.


@attrs.define
class _HostLoad:
    """What is known of one upstream; all times are monotonic seconds.

    Attributes:
        service: Service of the upstream when a call was last sent to it.
        load: Load in the last report.
        limit: Calls that may run at once, in the last report; 0 before the first.
        reported_at: When the last report came.
        made_at: Estimated time of the last report; it includes the calls that were sent before.
        transit_s: Shortest round trip seen, at most `MAX_TRANSIT_S`.
        sent: Times at which own calls under way were sent, after `made_at`, in their order.
    """

    service: str = ""
    load: float = 0.0
    limit: int = 0
    reported_at: float = float("-inf")
    made_at: float = float("-inf")
    transit_s: float = MAX_TRANSIT_S
    sent: collections.deque[float] = attrs.field(factory=collections.deque)


@attrs.define
class _ServiceMean:
    """Mean load of the upstreams of a service.

    Attributes:
        hosts: What is known of its upstreams.
        load: The mean, in which newer reports weigh more; None before the first report.
        computed_at: When it was computed.
        reported_at: When the last report came.
    """

    hosts: list[_HostLoad] = attrs.field(factory=list)
    load: float | None = None
    computed_at: float = float("-inf")
    reported_at: float = float("-inf")


class LoadEstimator:
    """Estimates loads for one node; all times are monotonic seconds.

    The estimate is the load in the last report plus the own calls that this report can't include.
    As a report ages, its load is replaced gradually by the mean load of the service.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, _HostLoad] = collections.defaultdict(_HostLoad)
        self._means: dict[str, _ServiceMean] = collections.defaultdict(_ServiceMean)

    def record_sent(self, item: strategy.Upstream, now: float) -> None:
        """Records that a call is sent to an upstream."""
        known = self._hosts[item.host]
        if known.service != item.service:
            self._forget_hosts(item.host, now)
            self._hosts[item.host] = known = _HostLoad(item.service)
            self._means[item.service].hosts.append(known)
        known.sent.append(now)

    def record_answer(
        self, host: str, report: strategy.Report | None, latency_s: float, now: float
    ) -> None:
        """Records that a call ended, with a report or without one.

        Args:
            host: Host of the upstream.
            report: Report that came with the answer, or None.
            latency_s: Duration of the call in seconds.
            now: When the call ended.
        """
        known = self._hosts[host]
        if report is None:
            _remove_ended(known.sent, now - latency_s)
            return
        known.transit_s = min(known.transit_s, latency_s)
        known.load, known.limit = report.load, max(1, report.limit)
        known.reported_at, known.made_at = now, now - known.transit_s
        while known.sent and known.sent[0] <= known.made_at:
            known.sent.popleft()
        self._means[known.service].reported_at = now

    def load_of(self, item: strategy.Upstream, now: float) -> float:
        """Returns the estimated load of an upstream."""
        known = self._hosts.get(item.host)
        if known is None:
            return self._expected_load(item, now)
        load = self._aged_load(known, item, now)
        return load + len(known.sent) / self.limit_of(item) if known.sent else load

    def service_of(self, host: str) -> str:
        """Returns the service of the last call that was sent to a host, "" if it is not known."""
        known = self._hosts.get(host)
        return known.service if known is not None else ""

    def limit_of(self, item: strategy.Upstream) -> int:
        """Returns how many calls an upstream may run at once, by its last report if there is one.

        The gate of an upstream that has just started allows fewer calls than its slots.
        """
        known = self._hosts.get(item.host)
        return known.limit if known is not None and known.limit else max(1, item.slots)

    def age_of(self, host: str, now: float) -> float:
        """Returns the seconds since the last report of a host, infinity if none has come."""
        known = self._hosts.get(host)
        return now - known.reported_at if known is not None else float("inf")

    def _forget_hosts(self, replaced: str, now: float) -> None:
        """Forgets hosts of which nothing was heard for long, and one whose service has changed."""
        kept = {
            host: known
            for host, known in self._hosts.items()
            if host != replaced and (known.sent or now - known.reported_at < FORGET_S)
        }
        self._hosts = collections.defaultdict(_HostLoad, kept)
        for service, mean in self._means.items():
            mean.hosts = [known for known in kept.values() if known.service == service]

    def _aged_load(self, known: _HostLoad, item: strategy.Upstream, now: float) -> float:
        age_s = now - known.reported_at
        if age_s <= FRESH_S:
            return known.load
        weight = math.exp((FRESH_S - age_s) / REPORT_DECAY_S)
        expected = self._expected_load(item, now)
        return expected + weight * (known.load - expected) if weight > MIN_LOAD_WEIGHT else expected

    def _expected_load(self, item: strategy.Upstream, now: float) -> float:
        """Returns the load of an upstream of which no recent report is known."""
        mean = self._means.get(item.service)
        if mean is None or now - mean.reported_at > MEAN_TTL_S:
            return item.load
        if now - mean.computed_at >= MEAN_INTERVAL_S:
            mean.computed_at = now
            weights = [math.exp((known.reported_at - now) / MEAN_DECAY_S) for known in mean.hosts]
            total = sum(weights)
            if total > MIN_LOAD_WEIGHT:
                loads = zip(weights, mean.hosts, strict=True)
                mean.load = sum(weight * known.load for weight, known in loads) / total
        return item.load if mean.load is None else mean.load


def _remove_ended(sent: collections.deque[float], sent_at: float) -> None:
    """Removes the call that was sent at `sent_at`.

    A call is recorded some microseconds before its duration is measured, so it is taken to be the
    latest one that was recorded at or before that time.
    """
    for position in range(len(sent) - 1, -1, -1):
        if sent[position] <= sent_at:
            del sent[position]
            return
