"""Load shedding at the first node, by the thresholds of all services that a request can reach."""

from collections.abc import Collection, Sequence

import attrs

from bergamotridge import call
from bergamotridge.nodes import load
from bergamotridge.upstreams import refusal

FRESH_S = 1.0  # Age up to which a threshold applies in full.
DECAY_S = 2.0  # Time after that in which the admitted share rises linearly to 1.0.


@attrs.define
class _TimedThreshold:
    """A threshold and the monotonic time in seconds at which a host reported it."""

    threshold: load.Threshold
    observed_at: float


@attrs.define
class _ServiceThresholds:
    """Thresholds of one service.

    Attributes:
        by_host: Thresholds that hosts reported to this node directly.
        combined: Threshold of these hosts together.
        relayed: Latest threshold that other nodes passed on.
    """

    by_host: dict[str, _TimedThreshold] = attrs.field(factory=dict)
    combined: _TimedThreshold = attrs.field(
        factory=lambda: _TimedThreshold(load.ADMIT_ALL, float("-inf"))
    )
    relayed: _TimedThreshold = attrs.field(
        factory=lambda: _TimedThreshold(load.ADMIT_ALL, float("-inf"))
    )

    @property
    def admits_all(self) -> bool:
        """True if no threshold of the service sheds anything."""
        return (
            self.combined.threshold is load.ADMIT_ALL and self.relayed.threshold is load.ADMIT_ALL
        )

    def current(self, now: float) -> _TimedThreshold:
        """Returns the combined threshold while it is fresh, else the newer of the two."""
        if (
            now - self.combined.observed_at < FRESH_S
            or self.combined.observed_at >= self.relayed.observed_at
        ):
            return self.combined
        return self.relayed

    def update(self, host: str, threshold: load.Threshold, now: float) -> None:
        """Stores the threshold that a host reported at `now`, and evicts those of silent hosts."""
        previous = self.by_host.get(host)
        if previous is not None and previous.threshold is threshold:
            previous.observed_at = self.combined.observed_at = now
            return
        self.by_host[host] = _TimedThreshold(threshold, now)
        self.by_host = {
            name: item for name, item in self.by_host.items() if now - item.observed_at < FRESH_S
        }
        self.combined = _TimedThreshold(
            combine([item.threshold for item in self.by_host.values()]), now
        )


def combine(thresholds: Sequence[load.Threshold]) -> load.Threshold:
    """Returns the mean share of each class and team; 1.0 where one of the thresholds has 1.0.

    Calls are sent to hosts that have room, so a class that one host admits whole is not shed.
    """
    if len(thresholds) == 1:
        return thresholds[0]
    accepted = _combine_shares([item.accepted for item in thresholds])
    if any(item.admits_all for item in thresholds):
        return load.ADMIT_ALL if accepted >= 1.0 else load.Threshold(accepted=accepted)
    keys = sorted({key for item in thresholds for key in item.shares} - {load.UNATTRIBUTED})
    shares = {key: _combine_shares([item.share(*key) for item in thresholds]) for key in keys}
    unattributed = _combine_shares([item.unattributed for item in thresholds])
    if unattributed < 1.0:
        shares[load.UNATTRIBUTED] = unattributed
    return load.Threshold(
        tuple(
            _combine_shares([item.defaults[level] for item in thresholds])
            for level in call.Importance
        ),
        shares,
        accepted,
    )


def _combine_shares(shares: Sequence[float]) -> float:
    return 1.0 if max(shares) >= 1.0 else sum(shares) / len(shares)


class ThresholdTable:
    """Latest thresholds by service; not thread-safe, to be used on one event loop.

    Whether a request is shed depends on a hash of its id, so all nodes shed the same requests, and
    a request and all calls below it are admitted or shed together. A threshold that is not
    refreshed opens by itself: the admitted share rises to 1.0. A threshold that another node
    passes on keeps the time at which a host reported it, so that nodes cannot keep a stale
    threshold alive by sending it to each other.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, _ServiceThresholds] = {}

    def observe(self, service: str, observed: load.Threshold, now: float, host: str = "") -> None:
        """Stores the threshold that came with an answer of `service` on `host`."""
        thresholds = self._by_service.get(service)
        if thresholds is None:
            thresholds = self._get_or_create(service)
        thresholds.update(host, observed, now)

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
            request_id: Id of the request.
            importance: Class of the request.
            services: All services that the request can reach.
            now: Monotonic time in seconds.
            team: Team of the request.

        Raises:
            CallError: The request is shed; the verdict is NOT_RUN.
        """
        for service in services:
            thresholds = self._by_service.get(service)
            if thresholds is None or thresholds.admits_all:
                continue
            if load.request_position(request_id) >= _admitted_share(
                thresholds, importance, team, now
            ):
                raise refusal.build_refusal(
                    "shed", f"service '{service}' is overloaded; retry later", request_id
                )

    def admitted_share(
        self, service: str, importance: call.Importance, team: str, now: float
    ) -> float:
        """Returns the share of the requests of a class and team that a service admits."""
        thresholds = self._by_service.get(service)
        if thresholds is None or thresholds.admits_all:
            return 1.0
        return _admitted_share(thresholds, importance, team, now)

    def unattributed_share(self, service: str, now: float) -> float:
        """Returns the share that a service admits of calls that do not name their request."""
        thresholds = self._by_service.get(service)
        if thresholds is None or thresholds.admits_all:
            return 1.0
        current = thresholds.current(now)
        return _recovered_share(current.threshold.unattributed, now - current.observed_at)

    def accepted_fraction(self, service: str, now: float) -> float:
        """Returns the fraction of calls that the upstreams of a service accept at any load."""
        thresholds = self._by_service.get(service)
        if thresholds is None or thresholds.admits_all:
            return 1.0
        current = thresholds.current(now)
        return _recovered_share(current.threshold.accepted, now - current.observed_at)

    def encode(self, services: Collection[str], now: float) -> str:
        """Returns the stored thresholds of `services` with their ages, as the text of a header.

        Each part is `service@age in milliseconds@encoded threshold`; spaces separate the parts.

        Args:
            services: Direct and indirect dependencies of the service that answers.
            now: Monotonic time in seconds.
        """
        thresholds = [
            (name, self._by_service[name].current(now))
            for name in services
            if name in self._by_service
        ]
        return " ".join(
            f"{service}@{int((now - timed.observed_at) * 1000)}@{timed.threshold.encoded}"
            for service, timed in thresholds
            if now - timed.observed_at
            < (FRESH_S if timed.threshold.admits_all else FRESH_S + DECAY_S)
        )

    def merge(self, text: str | None, services: Collection[str], now: float) -> None:
        """Stores the thresholds of a header that `encode` returned, if they are newer.

        Args:
            text: Value of the header, None if it is absent; malformed parts are ignored.
            services: Services that the sender may report on; other services are ignored.
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
                threshold, age_s = load.decode_threshold(encoded), float(age_ms) / 1000
            except ValueError:
                continue
            if not 0.0 <= age_s < float("inf"):
                # One from the future would outrank all later ones.
                continue
            received = _TimedThreshold(threshold, now - age_s)
            thresholds = self._get_or_create(service)
            if received.observed_at > thresholds.relayed.observed_at:
                thresholds.relayed = received

    def services_in(self, text: str) -> list[str]:
        """Returns the services whose thresholds a header that `encode` returned contains."""
        return [part.partition("@")[0] for part in text.split(" ")]

    def _get_or_create(self, service: str) -> _ServiceThresholds:
        thresholds = self._by_service.get(service)
        if thresholds is None:
            thresholds = self._by_service[service] = _ServiceThresholds()
        return thresholds


def _admitted_share(
    thresholds: _ServiceThresholds, importance: call.Importance, team: str, now: float
) -> float:
    current = thresholds.current(now)
    return _recovered_share(current.threshold.share(importance, team), now - current.observed_at)


def _recovered_share(share: float, age_s: float) -> float:
    """Returns the share to admit for a threshold of this age; it rises to 1.0 after `FRESH_S`."""
    recovered = min(1.0, max(0.0, age_s - FRESH_S) / DECAY_S)
    return share + (1.0 - share) * recovered
