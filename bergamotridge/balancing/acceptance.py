"""Fraction of calls that each upstream accepts, learned from the answers to calls of one node."""

import math

import attrs

# Time constant of the decay. An upstream that rejects calls for some seconds is noticed after a few
# answers, and gets its part again in less than a second once it accepts all calls.
WINDOW_S = 0.3
# Calls that count as accepted beside those seen, so that one rejection among few calls has little
# effect and an upstream without calls counts as accepting them again.
PRIOR_CALLS = 2.0
MIN_FRACTION = 0.01  # Keeps weights and times finite.
FORGET_S = 10.0  # Without calls for longer, nothing is left of what was seen.
SHOWN_S = 5.0  # Metrics show an upstream for so long after its last call.


@attrs.define
class _HostCounts:
    """Decayed numbers of calls of one upstream.

    Attributes:
        ended: Calls that it accepted or rejected.
        rejected: Calls that it rejected.
        updated_at: Monotonic time in seconds of the last of them.
    """

    ended: float = 0.0
    rejected: float = 0.0
    updated_at: float = float("-inf")

    def decay(self, now: float) -> float:
        """Returns the factor by which the numbers have decayed."""
        return math.exp((self.updated_at - now) / WINDOW_S)


class Acceptance:
    """Learns which upstreams reject calls without running them; times are monotonic seconds.

    Only upstreams that have rejected a call are kept, and forgotten once that has no effect.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, _HostCounts] = {}

    def record(self, host: str, *, accepted: bool, now: float) -> None:
        """Records a call that an upstream accepted or rejected."""
        counts = self._hosts.get(host)
        if counts is None:
            if accepted:
                return
            self._forget_hosts(now)
            counts = self._hosts[host] = _HostCounts()
        decay = counts.decay(now)
        counts.ended = decay * counts.ended + 1.0
        counts.rejected = decay * counts.rejected + (not accepted)
        counts.updated_at = now

    def _forget_hosts(self, now: float) -> None:
        self._hosts = {
            host: counts
            for host, counts in self._hosts.items()
            if now - counts.updated_at < FORGET_S
        }

    def of(self, host: str, now: float) -> float:
        """Returns the fraction of calls that an upstream accepts, 1.0 if nothing is known."""
        counts = self._hosts.get(host)
        if counts is None:
            return 1.0
        decay = counts.decay(now)
        rejected = decay * counts.rejected / (decay * counts.ended + PRIOR_CALLS)
        return max(MIN_FRACTION, 1.0 - rejected)

    def by_host(self, now: float) -> dict[str, float]:
        """Returns the accepted fraction of upstreams with late rejections, from any thread."""
        recent = [
            host for host, counts in list(self._hosts.items()) if now - counts.updated_at < SHOWN_S
        ]
        return {host: self.of(host, now) for host in recent}
