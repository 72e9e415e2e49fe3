"""Strategy: random in proportion to free capacity, near upstreams first unless they are slower."""

import itertools
import random
from collections.abc import Sequence
from typing import Generic

import attrs

from bergamotridge.balancing import acceptance, load_estimate, speed, strategy

SAMPLE_SIZE = 8  # Upstreams of one distance that are compared for one call.
RECENT_REPORT_S = 1.0  # Age up to which a report shows whether an upstream has room.
MIN_ROOM_CALLS = 0.5  # An upstream with less room counts as full.
# Calls leave the nearer upstreams from this load on, and make no difference between near and far
# ones from `FULL_LOAD` on. A gradual change keeps nodes from moving at the same time. The load of a
# single upstream varies more than that of a failure domain, so the own host is left later.
OWN_HOST_SPILL_LOAD = 0.85
OWN_DOMAIN_SPILL_LOAD = 0.5
# The load has its full effect if that farther away is lower by this difference; a smaller one
# reduces the effect in proportion.
SPILL_LOAD_MARGIN = 0.15
# Expected time at the nearer upstreams divided by that at the farther ones: from the first ratio on
# calls leave the nearer upstreams, and from the second on the distance makes no difference. The
# ratios are above 1, as a relayed call costs processor time on two hosts and, between failure
# domains, traffic.
SPILL_START_RATIO = 1.5
SPILL_FULL_RATIO = 2.25
ALL_FULL_SPILL_RATIO = 1.25  # Above this ratio all calls leave if both distances are full.
# Each call that may stay near is compared with what is farther away. Loads there change little in
# this time, and computing them for each call took a third of the time of a choice.
FAR_GROUP_TTL_S = 0.05
# Part of the calls that goes farther without need, so that the speed of upstreams there is known.
EXPLORED_FRACTION = 0.02
# Exponent of a passing slowness in the weight of an upstream. Calls that were sent there before the
# slowness was noticed keep it busy for longer than their number shows.
PASSING_POWER = 3
# Exponent of the accepted fraction of calls in weight and expected time. A request needs several
# calls, each rejected one takes a retry, and the rejecting upstream seems idle.
ACCEPTANCE_POWER = 4


@attrs.frozen
class _Group(Generic[strategy.Candidate]):
    """Upstreams of one distance, or a sample of them.

    Attributes:
        items: The upstreams.
        weights: Free capacity of each (free slots divided by slowness), 0 if it is full; less if it
            rejects calls.
        times: Expected time of a call at each, in multiples of the usual time of the service; more
            if it rejects calls.
        capacity: Free capacity of all upstreams of that distance, extrapolated from a sample.
        load: Mean load of `items`.
    """

    items: Sequence[strategy.Candidate]
    weights: Sequence[float]
    times: Sequence[float]
    capacity: float
    load: float

    @property
    def expected_time(self) -> float:
        """Mean of `times` by weight; the shortest time if all upstreams are full."""
        total = sum(self.weights)
        if not total:
            return min(self.times)
        pairs = zip(self.weights, self.times, strict=True)
        return sum(weight * time for weight, time in pairs) / total


@attrs.frozen
class _FarGroup(Generic[strategy.Candidate]):
    """The group of upstreams in other failure domains as it was last computed for a service.

    Attributes:
        items: The upstreams that were compared, or that the sample was taken from.
        group: The group.
        computed_at: Monotonic time in seconds.
    """

    items: Sequence[strategy.Candidate]
    group: _Group[strategy.Candidate]
    computed_at: float


class ExpectedWait:
    """Chooses by how long a call would take; implements `strategy.Strategy`.

    An upstream is drawn in proportion to its free capacity: free slots by speed. Nodes with the
    same reports then choose differently. The upstream on the own host is preferred to those in the
    own failure domain, and these to all others, unless they are clearly slower or nearly full.
    An upstream without room is chosen only if none of those compared has room.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates a strategy that has observed nothing; `rng` draws the upstreams."""
        self._rng = rng
        self._loads = load_estimate.LoadEstimator()
        self._slowness = speed.Slowness()
        self._acceptance = acceptance.Acceptance()
        self._far_groups: dict[str, _FarGroup] = {}

    def choose(self, usable: strategy.Split[strategy.Candidate], now: float) -> strategy.Candidate:
        """Returns the upstream to call; all of `usable`, at least one, may be called."""
        chosen = self._compare(usable.own_host, now) if usable.own_host else None
        if usable.own_domain:
            in_domain = self._compare(usable.own_domain, now)
            stays = chosen is not None and self._stays_near(chosen, in_domain, OWN_HOST_SPILL_LOAD)
            if stays and chosen.capacity:
                return chosen.items[0]
            chosen = chosen if stays else in_domain
        if usable.others:
            others = self._compare_far(usable.others, now)
            if chosen is None or not self._stays_near(chosen, others, OWN_DOMAIN_SPILL_LOAD):
                chosen = others
        if not chosen.capacity:
            # A sample may have missed the upstreams that have room.
            chosen = self._compare_free(usable.candidates, now) or chosen
        return self._draw(chosen)

    def load_of(self, item: strategy.Upstream, now: float) -> float:
        """Returns the estimated load of an upstream."""
        return self._loads.load_of(item, now)

    def view_of(self, item: strategy.Upstream, now: float) -> strategy.UpstreamView:
        """Returns what is known of an upstream."""
        slowness = self._slowness.of(item.host, now) * self._slowness.passing_of(item.host, now)
        return strategy.UpstreamView(
            self._loads.load_of(item, now),
            self._loads.limit_of(item),
            slowness,
            self._acceptance.of(item.host, now),
        )

    def has_recent_report(self, host: str, now: float) -> bool:
        """Returns whether a report of the host came in the last `RECENT_REPORT_S`."""
        return self._loads.age_of(host, now) < RECENT_REPORT_S

    def record_sent(self, item: strategy.Upstream, now: float) -> None:
        """Records that a call is sent to an upstream."""
        self._loads.record_sent(item, now)

    def record_answer(self, host: str, answered: strategy.Answered, now: float) -> None:
        """Takes in the load report and the duration of a call."""
        report = answered.report
        self._loads.record_answer(host, report, answered.latency_s, now)
        if answered.accepted is not None:
            self._acceptance.record(host, accepted=answered.accepted, now=now)
        if answered.completed and report is not None:
            service = self._loads.service_of(host)
            # The reported load may be higher: a gate whose starts are limited reports no room.
            queue_load = (report.in_flight + report.queued) / max(1, report.limit)
            self._slowness.record(host, service, answered.kind, answered.latency_s, queue_load, now)

    def slowness_by_host(self, now: float) -> dict[str, float]:
        """Returns the learned slowness of each upstream; may be called from any thread."""
        return self._slowness.by_host(now)

    def accepted_by_host(self, now: float) -> dict[str, float]:
        """Returns the accepted fraction of upstreams that reject calls, from any thread."""
        return self._acceptance.by_host(now)

    def _compare(
        self, items: Sequence[strategy.Candidate], now: float
    ) -> _Group[strategy.Candidate]:
        """Returns weights and expected times of `items`, or of a sample if they are many."""
        count = len(items)
        if count > SAMPLE_SIZE:
            items = self._rng.sample(items, SAMPLE_SIZE)
        weights, times, total_load = [], [], 0.0
        for item in items:
            load, limit = self._loads.load_of(item, now), self._loads.limit_of(item)
            slowness = self._slowness.of(item.host, now)
            passing = self._slowness.passing_of(item.host, now)
            accepted = self._acceptance.of(item.host, now) ** ACCEPTANCE_POWER
            room = self._room_of(item, limit, load, now)
            weights.append(room * accepted / (slowness * passing**PASSING_POWER))
            times.append(slowness * passing * max(1.0, load) / accepted)
            total_load += load
        capacity = sum(weights) * count / len(items)
        return _Group(items, weights, times, capacity, total_load / len(items))

    def _compare_far(
        self, items: Sequence[strategy.Candidate], now: float
    ) -> _Group[strategy.Candidate]:
        """Returns the group of upstreams in other failure domains, computed a short time ago."""
        service = items[0].service
        cached = self._far_groups.get(service)
        is_valid = cached is not None and cached.items is items
        if not is_valid or now - cached.computed_at >= FAR_GROUP_TTL_S:
            cached = _FarGroup(items, self._compare(items, now), now)
            self._far_groups[service] = cached
        return cached.group

    def _compare_free(
        self, items: Sequence[strategy.Candidate], now: float
    ) -> _Group[strategy.Candidate] | None:
        """Returns a group of the upstreams in `items` that have room, or None if none has."""
        free = [
            item
            for item in items
            if self._room_of(item, self._loads.limit_of(item), self._loads.load_of(item, now), now)
        ]
        return self._compare(free, now) if free else None

    def _room_of(self, item: strategy.Upstream, limit: int, load: float, now: float) -> float:
        """Returns the calls for which an upstream has room, 0 if it is full.

        Without a recent report the load is a mean, and less than `MIN_ROOM_CALLS` is the chance
        that a call finds room. An upstream whose limit is one call would else get none.
        """
        room = limit * (1.0 - load)
        if room >= MIN_ROOM_CALLS:
            return room
        return 0.0 if room <= 0.0 or self.has_recent_report(item.host, now) else room

    def _stays_near(self, near: _Group, far: _Group, spill_load: float) -> bool:
        """Returns whether a call goes to the nearer of two groups; random close to the limit."""
        if not near.capacity and not far.capacity:
            return near.expected_time <= ALL_FULL_SPILL_RATIO * far.expected_time
        by_load = (near.load - spill_load) / (strategy.FULL_LOAD - spill_load)
        by_load *= min(1.0, max(0.0, (near.load - far.load) / SPILL_LOAD_MARGIN))
        ratio = near.expected_time / far.expected_time
        by_time = (ratio - SPILL_START_RATIO) / (SPILL_FULL_RATIO - SPILL_START_RATIO)
        # 0 keeps all calls near; with 1 the distance makes no difference.
        spill = min(1.0, max(by_load, by_time, EXPLORED_FRACTION)) if near.capacity else 1.0
        far_fraction = spill * far.capacity / (near.capacity + far.capacity)
        return self._rng.random() >= far_fraction

    def _draw(self, group: _Group[strategy.Candidate]) -> strategy.Candidate:
        """Returns an upstream by weight; if all are full, the faster one of two."""
        if len(group.items) == 1:
            return group.items[0]
        if not any(group.weights):
            positions = self._rng.sample(range(len(group.items)), 2)
            return group.items[min(positions, key=group.times.__getitem__)]
        cumulative = list(itertools.accumulate(group.weights))
        drawn = self._rng.random() * cumulative[-1]
        for item, bound in zip(group.items, cumulative, strict=True):
            if drawn < bound:
                return item
        return group.items[group.weights.index(max(group.weights))]
