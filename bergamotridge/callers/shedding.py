"""Shedding at the first node, by the thresholds of all services that a request can reach."""

from collections.abc import Collection, Sequence

import attrs

from bergamotridge import call
from bergamotridge.nodes import load
from bergamotridge.upstreams import admission

FRESH_S = 1.0
DECAY_S = 2.0


@attrs.define
class _Seen:
    """A threshold and the monotonic time in seconds at which its gate worked it out."""

    threshold: load.Threshold
    at: float


@attrs.define
class _Service:
    """What is known of one service.

    Attributes:
        by_host: What its hosts said to this node.
        joint: What they admit together.
        relayed: The latest that other nodes told of it.
    """

    by_host: dict[str, _Seen] = attrs.field(factory=dict)
    joint: _Seen = attrs.field(factory=lambda: _Seen(load.OPEN, float("-inf")))
    relayed: _Seen = attrs.field(factory=lambda: _Seen(load.OPEN, float("-inf")))

    @property
    def open(self) -> bool:
        """True if nothing that is known of the service sheds anything."""
        return self.joint.threshold is load.OPEN and self.relayed.threshold is load.OPEN

    def current(self, now: float) -> _Seen:
        """Returns what the hosts said, or what was relayed if that is older than `FRESH_S`."""
        if now - self.joint.at < FRESH_S or self.joint.at >= self.relayed.at:
            return self.joint
        return self.relayed

    def take(self, host: str, threshold: load.Threshold, now: float) -> None:
        """Takes over what a host said."""
        known = self.by_host.get(host)
        if known is not None and known.threshold is threshold:
            known.at = self.joint.at = now
            return
        self.by_host[host] = _Seen(threshold, now)
        self.by_host = {
            name: item for name, item in self.by_host.items() if now - item.at < FRESH_S
        }
        self.joint = _Seen(joined([item.threshold for item in self.by_host.values()]), now)


def joined(thresholds: Sequence[load.Threshold]) -> load.Threshold:
    """Returns the mean share of each class and team; 1.0 where one of the thresholds has 1.0.

    Calls go where there is room, so nothing is shed that one host admits whole.
    """
    if len(thresholds) == 1:
        return thresholds[0]
    if any(item.open for item in thresholds):
        return load.OPEN
    keys = sorted({key for item in thresholds for key in item.shares} - {load.UNATTRIBUTED})
    shares = {key: _joint([item.share(*key) for item in thresholds]) for key in keys}
    unattributed = _joint([item.unattributed for item in thresholds])
    if unattributed < 1.0:
        shares[load.UNATTRIBUTED] = unattributed
    return load.Threshold(
        tuple(_joint([item.defaults[level] for item in thresholds]) for level in call.Importance),
        shares,
    )


def _joint(shares: Sequence[float]) -> float:
    return 1.0 if max(shares) >= 1.0 else sum(shares) / len(shares)


class ThresholdTable:
    """Latest thresholds by service, on one event loop.

    A request is placed by a hash of its id, so all nodes shed the same requests and the tree of
    one is kept or shed whole. A threshold that is not refreshed opens by itself. What other nodes
    relay keeps the time at which a host said it, so that nodes cannot refresh each other's memory.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _Service] = {}

    def observe(self, service: str, observed: load.Threshold, now: float, host: str = "") -> None:
        """Takes over the threshold that came with an answer of `service` on `host`."""
        known = self._seen.get(service)
        if known is None:
            known = self._known(service)
        known.take(host, observed, now)

    def check(
        self,
        request_id: str,
        importance: call.Importance,
        services: Collection[str],
        now: float,
        team: str = "",
    ) -> None:
        """Refuses a request that one of the services would have to shed.

        Args:
            request_id: The request.
            importance: Its class.
            services: All services that it can reach.
            now: Monotonic time in seconds.
            team: Its team.

        Raises:
            CallError: It is shed; the verdict is NOT_RUN.
        """
        for service in services:
            known = self._seen.get(service)
            if known is None or known.open:
                continue
            if load.position(request_id) >= self._share(known, importance, team, now):
                raise admission.refusal("shed", f"service '{service}' is overloaded", request_id)

    def unattributed(self, service: str, now: float) -> float:
        """Returns the share that a service can take of calls which do not tell their request."""
        known = self._seen.get(service)
        if known is None or known.open:
            return 1.0
        item = known.current(now)
        return _opened(item.threshold.unattributed, now - item.at)

    def encode(self, services: Collection[str], now: float) -> str:
        """Returns the thresholds of `services` that are known, with their ages, for a header.

        Args:
            services: Services below the one that answers.
            now: Monotonic time in seconds.
        """
        seen = [(name, self._seen[name].current(now)) for name in services if name in self._seen]
        return " ".join(
            f"{service}@{int((now - item.at) * 1000)}@{item.threshold.encoded}"
            for service, item in seen
            if now - item.at < (FRESH_S if item.threshold.open else FRESH_S + DECAY_S)
        )

    def merge(self, text: str | None, services: Collection[str], now: float) -> None:
        """Takes over thresholds from a header that `encode` wrote.

        Args:
            text: The header; malformed parts are passed over.
            services: Services that the sender may speak of.
            now: Monotonic time in seconds.
        """
        if not text:
            return
        for part in text.split(" "):
            service, _, rest = part.partition("@")
            age_ms, _, encoded = rest.partition("@")
            if service not in services:
                continue
            try:
                seen = _Seen(load.decode_threshold(encoded), now - float(age_ms) / 1000)
            except ValueError:
                continue
            known = self._known(service)
            if seen.at > known.relayed.at:
                known.relayed = seen

    def named(self, text: str) -> list[str]:
        """Returns the services of which a header that `encode` wrote speaks."""
        return [part.partition("@")[0] for part in text.split(" ")]

    def _known(self, service: str) -> _Service:
        known = self._seen.get(service)
        if known is None:
            known = self._seen[service] = _Service()
        return known

    def _share(self, known: _Service, importance: call.Importance, team: str, now: float) -> float:
        item = known.current(now)
        return _opened(item.threshold.share(importance, team), now - item.at)


def _opened(share: float, age_s: float) -> float:
    """Returns a share that opens by itself once it has not been refreshed for `FRESH_S`."""
    opened = min(1.0, max(0.0, age_s - FRESH_S) / DECAY_S)
    return share + (1.0 - share) * opened
