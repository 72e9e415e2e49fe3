"""Choice of the upstream that a call goes to."""

import random
from collections.abc import Collection, Sequence

import attrs

from bergamotridge.nodes import load, record
from bergamotridge.upstreams import outcome

FULL = 1.0
SPILL_MARGIN = 0.1
REPORT_FRESH_S = 1.0
FAILURES_TO_EJECT = 3
EJECTION_S = 0.5
LONGEST_EJECTION_S = 5.0
RETURN_S = 2.0
RETURN_SHARE = 0.1
PROBE_S = 5.0
FAILURES = (
    outcome.Outcome.FAILED,
    outcome.Outcome.TIMED_OUT,
    outcome.Outcome.REFUSED,
    outcome.Outcome.UNREACHABLE,
)


@attrs.define
class _Health:
    """What this node learned of one host from its own calls; times are monotonic seconds."""

    load: float = 0.0
    load_at: float = float("-inf")
    sent: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    probing: bool = False
    probed_at: float = float("-inf")
    returned_at: float = float("-inf")

    @property
    def ejected(self) -> bool:
        """True from an ejection until a probe succeeds."""
        return self.ejections > 0 and self.ejected_until > float("-inf")


def _only_late(result: outcome.Outcome, report: load.LoadReport | None) -> bool:
    """Tells whether a gate that answers ran out of time, as it does when others are slow."""
    return result is outcome.Outcome.TIMED_OUT and report is not None


@attrs.frozen
class _Split:
    """Upstreams of a service that may be called, by how near they are.

    Attributes:
        of: The candidates that were split.
        near: The own host, or else the own failure domain.
        far: All others.
    """

    of: Sequence[record.UpstreamRecord]
    near: Sequence[record.UpstreamRecord]
    far: Sequence[record.UpstreamRecord]


class Chooser:
    """Chooses among the upstreams of a service, on one event loop.

    The own host comes first, then the own failure domain, while they have room. Else the lesser
    loaded of two random ones elsewhere is taken if it is clearly less loaded. Loads come with
    answers; the loads in records only stand in for them. An upstream that fails repeatedly is
    ejected, tried again with single calls, and after a success gets its share back slowly.
    """

    def __init__(
        self,
        own_host: str,
        own_failure_domain: str,
        own_region: str,
        rng: random.Random,
    ) -> None:
        self._own_host = own_host
        self._own_failure_domain = own_failure_domain
        self._own_region = own_region
        self._rng = rng
        self._hosts: dict[str, _Health] = {}
        self._troubled: dict[str, _Health] = {}
        self._splits: dict[str, _Split] = {}

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
            excluded: Hosts that this call has tried.
            now: Monotonic time in seconds.
            may_probe: False if the call may not be repeated elsewhere should it fail; it probes
                an ejected upstream only if no other call does for `LONGEST_EJECTION_S`.
        """
        if not candidates:
            return None
        if excluded or self._troubled:
            ready = [
                item
                for item in candidates
                if item.state is record.State.READY and item.host not in excluded
            ]
            if not ready:
                return None
            chosen = self._probe(ready, now, may_probe) or self._pick(ready, now)
        else:
            split = self._split(candidates)
            if not split.near and not split.far:
                return None
            chosen = self._nearest(split, now)
        self._health(chosen.host).sent += 1
        return chosen

    def report(
        self,
        host: str,
        result: outcome.Outcome,
        report: load.LoadReport | None,
        latency_s: float,
        now: float,
    ) -> None:
        """Learns how a call to `host` ended.

        Args:
            host: The host chosen.
            result: Its outcome.
            report: The report that came with the answer, or None.
            latency_s: Time that the call took, in seconds.
            now: Monotonic time in seconds.
        """
        health = self._health(host)
        if report is not None:
            health.load, health.load_at, health.sent = report.load, now, 0
        if result in FAILURES and not _only_late(result, report):
            self._troubled[host] = health
            self._failed(health, now, at_once=result is outcome.Outcome.UNREACHABLE)
        elif host in self._troubled:
            if result is outcome.Outcome.CANCELLED:
                health.probing = False
            else:
                self._answered(health, now)
                if not health.ejected and now - health.returned_at >= RETURN_S:
                    del self._troubled[host]

    def _health(self, host: str) -> _Health:
        health = self._hosts.get(host)
        if health is None:
            health = self._hosts[host] = _Health()
        return health

    def _failed(self, health: _Health, now: float, at_once: bool) -> None:
        health.failures += 1
        if at_once or health.probing or health.failures >= FAILURES_TO_EJECT:
            seconds = min(LONGEST_EJECTION_S, EJECTION_S * 2**health.ejections)
            if health.probing or not health.ejected:
                health.ejections += 1
                health.ejected_until = now + seconds * self._rng.uniform(0.8, 1.2)
            health.probing = False

    def _answered(self, health: _Health, now: float) -> None:
        if health.ejected and not health.probing:
            return
        if health.probing:
            health.ejected_until = float("-inf")
            health.returned_at = now
        if now - health.returned_at > RETURN_S:
            health.ejections = 0
        health.probing = False
        health.failures = 0

    def _probe(
        self, ready: Sequence[record.UpstreamRecord], now: float, may_probe: bool
    ) -> record.UpstreamRecord | None:
        waited_s = 0.0 if may_probe else LONGEST_EJECTION_S
        for item in ready:
            health = self._health(item.host)
            due = now >= health.ejected_until + waited_s
            unreported = health.probing and now >= health.probed_at + PROBE_S
            if health.ejected and due and (unreported or not health.probing):
                health.probing = True
                health.probed_at = now
                return item
        return None

    def _pick(
        self, ready: Sequence[record.UpstreamRecord], now: float
    ) -> record.UpstreamRecord | None:
        usable = [item for item in ready if self._takes(item, now)]
        if not usable:
            usable = [item for item in ready if not self._health(item.host).ejected]
        if not usable:
            return self._rng.choice(ready) if ready else None
        return self._nearest(self._divided(usable), now)

    def _split(self, candidates: Sequence[record.UpstreamRecord]) -> _Split:
        """Returns the ready ones among the candidates of a service, which change rarely."""
        service = candidates[0].service
        known = self._splits.get(service)
        if known is None or known.of is not candidates:
            ready = [item for item in candidates if item.state is record.State.READY]
            known = attrs.evolve(self._divided(ready), of=candidates)
            self._splits[service] = known
        return known

    def _divided(self, usable: Sequence[record.UpstreamRecord]) -> _Split:
        near = self._near(usable)
        return _Split(usable, near, [item for item in usable if item not in near])

    def _nearest(self, usable: _Split, now: float) -> record.UpstreamRecord:
        """Returns the one to call among upstreams that may all be called."""
        best_near = self._two_choices(usable.near, now) if usable.near else None
        if best_near is not None and self._load(best_near, now) < FULL:
            return best_near
        if not usable.far:
            return best_near
        best_far = self._two_choices(usable.far, now)
        if best_near is None:
            return best_far
        spill = self._load(best_far, now) + SPILL_MARGIN < self._load(best_near, now)
        return best_far if spill else best_near

    def _near(self, usable: Sequence[record.UpstreamRecord]) -> list[record.UpstreamRecord]:
        near = [item for item in usable if item.failure_domain == self._own_failure_domain]
        for item in near:
            if item.host == self._own_host:
                return [item]
        return near

    def _two_choices(
        self, items: Sequence[record.UpstreamRecord], now: float
    ) -> record.UpstreamRecord:
        count = len(items)
        first = self._rng.randrange(count)
        if count == 1:
            return items[0]
        second = self._rng.randrange(count - 1)
        if second == first:
            second = count - 1
        one, other = items[first], items[second]
        return one if self._load(one, now) <= self._load(other, now) else other

    def _load(self, item: record.UpstreamRecord, now: float) -> float:
        health = self._health(item.host)
        known = health.load if now - health.load_at < REPORT_FRESH_S else item.load
        return known + health.sent / max(1, item.slots)

    def _takes(self, item: record.UpstreamRecord, now: float) -> bool:
        health = self._health(item.host)
        if health.ejected:
            return False
        share = RETURN_SHARE + (1.0 - RETURN_SHARE) * (now - health.returned_at) / RETURN_S
        return share >= 1.0 or self._rng.random() < share
