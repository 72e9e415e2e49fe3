"""How slow each upstream is relative to the others of its service, learned from answered calls."""

import collections
import math
from collections.abc import Hashable

import attrs

USUAL_S = 5.0  # Time constant of the usual time of a kind of calls.
LASTING_S = 10.0  # Time constant of the slow average, which shows lasting differences of speed.
# Time constant of the quick average, which shows slowness of some tenths of a second.
PASSING_S = 0.1
MAX_STEP = 0.5  # Greatest weight of a further call in any of these averages.
# Time constant with which the quick average returns to normal without answers. With 0.2 s, an
# upstream got calls again before a slowness of 0.6 s was over.
FORGET_PASSING_S = 0.3
# Time without answers after which the averages begin to return to normal.
MIN_PASSING_IDLE_S = 0.1
MIN_LASTING_IDLE_S = 5.0
FORGET_LASTING_S = 30.0  # Time constant with which the slow average returns to normal then.
FORGET_HOST_S = 180.0  # After which a host without answers counts as usual, and is forgotten.
SHOWN_S = 60.0  # Metrics leave out an upstream without answers for longer; it may be removed.
# A quick average below this counts as 1, as the work of calls of one kind varies as much.
MIN_PASSING_RATIO = 1.4
# Bounds of the time of one call over the usual one; a call may have waited for a service below.
MIN_RATIO = 0.2
MAX_RATIO = 5.0
MIN_RUN_S = 1e-4  # Shortest time of a call that is counted, to keep ratios finite.


@attrs.define
class _UsualTime:
    """Smoothed time of a kind of calls at an upstream of slowness 1."""

    seconds: float
    updated_at: float
    count: int = 1


@attrs.define
class _HostSlowness:
    """Averages of one upstream: times divided by the usual ones.

    Attributes:
        lasting: Slow average.
        passing: Quick average, relative to the slow one.
        updated_at: When the last answer came, in monotonic seconds.
        count: Answers so far.
    """

    lasting: float = 1.0
    passing: float = 1.0
    updated_at: float = float("-inf")
    count: int = 0


class Slowness:
    """Learns the slowness of upstreams for one node; all times are monotonic seconds.

    A slowness of 2 means that calls take twice as long as is usual at the upstreams of the service.
    An upstream that is not known has a slowness of 1.
    """

    def __init__(self) -> None:
        self._usual: dict[tuple[str, Hashable], _UsualTime] = {}
        self._hosts: dict[str, _HostSlowness] = collections.defaultdict(_HostSlowness)

    def record(
        self, host: str, service: str, kind: Hashable, latency_s: float, load: float, now: float
    ) -> None:
        """Records a call that an upstream has answered.

        Args:
            host: Host of the upstream.
            service: Service of the upstream.
            kind: Kind of the call; see `strategy.Answered`.
            latency_s: Duration of the call in seconds.
            load: Load in the report with the answer. A call that finds a queue of (load - 1) times
                the limit waits that many times as long as it runs.
            now: When the answer came.
        """
        run_s = max(MIN_RUN_S, latency_s / max(1.0, load))
        if host not in self._hosts:
            self._forget_hosts(now)
        known = self._hosts[host]
        lasting = self._aged_lasting(known, now)
        passing = self._aged_passing(known, now)
        usual_s = self._update_usual((service, kind), run_s / lasting, now)
        ratio = min(MAX_RATIO, max(MIN_RATIO, run_s / usual_s))
        idle_s = now - known.updated_at
        known.count += 1
        step = max(_step(idle_s, LASTING_S), 1.0 / (known.count + 1))
        known.passing = passing + min(MAX_STEP, _step(idle_s, PASSING_S)) * (
            ratio / lasting - passing
        )
        known.lasting = lasting + min(MAX_STEP, step) * (ratio - lasting)
        known.updated_at = now

    def of(self, host: str, now: float) -> float:
        """Returns the lasting slowness of an upstream; see `passing_of` for that of the moment."""
        known = self._hosts.get(host)
        return self._aged_lasting(known, now) if known is not None else 1.0

    def passing_of(self, host: str, now: float) -> float:
        """Returns how many times slower than its lasting slowness an upstream is, at least 1."""
        known = self._hosts.get(host)
        if known is None or known.passing < MIN_PASSING_RATIO:
            return 1.0
        passing = self._aged_passing(known, now)
        return passing if passing >= MIN_PASSING_RATIO else 1.0

    def by_host(self, now: float) -> dict[str, float]:
        """Returns the present slowness of upstreams that answered lately, from any thread."""
        recent = [
            host for host, known in list(self._hosts.items()) if now - known.updated_at < SHOWN_S
        ]
        return {host: self.of(host, now) * self.passing_of(host, now) for host in recent}

    def _forget_hosts(self, now: float) -> None:
        kept = {
            host: known
            for host, known in self._hosts.items()
            if now - known.updated_at < FORGET_HOST_S
        }
        self._hosts = collections.defaultdict(_HostSlowness, kept)

    def _update_usual(self, key: tuple[str, Hashable], seconds: float, now: float) -> float:
        usual = self._usual.get(key)
        if usual is None:
            self._usual[key] = _UsualTime(seconds, now)
            return seconds
        usual.count += 1
        step = max(_step(now - usual.updated_at, USUAL_S), 1.0 / usual.count)
        usual.seconds += min(MAX_STEP, step) * (seconds - usual.seconds)
        usual.updated_at = now
        return usual.seconds

    @staticmethod
    def _aged_lasting(known: _HostSlowness, now: float) -> float:
        if known.count == 0:
            return 1.0
        idle_s = max(0.0, now - known.updated_at - MIN_LASTING_IDLE_S)
        return 1.0 + math.exp(-idle_s / FORGET_LASTING_S) * (known.lasting - 1.0)

    @staticmethod
    def _aged_passing(known: _HostSlowness, now: float) -> float:
        if known.count == 0:
            return 1.0
        idle_s = max(0.0, now - known.updated_at - MIN_PASSING_IDLE_S)
        return 1.0 + math.exp(-idle_s / FORGET_PASSING_S) * (known.passing - 1.0)


def _step(idle_s: float, time_constant_s: float) -> float:
    """Returns the weight of a new value after `idle_s` in an average with that time constant."""
    return 1.0 - math.exp(-idle_s / time_constant_s)
