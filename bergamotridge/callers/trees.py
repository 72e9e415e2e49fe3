"""Shedding of whole trees at the first node, where calls below do not name their request."""

from collections.abc import Callable
from typing import Protocol

from bergamotridge import call
from bergamotridge.nodes import load
from bergamotridge.upstreams import admission
from bergamotridge.util import decay

MIX_WINDOW_S = 1.0


class Shares(Protocol):
    """Knows which share of the calls without a known request a service can take."""

    def unattributed(self, service: str, now: float) -> float:
        """Returns the share, 1.0 if nothing has to be shed."""


class TreeShedding:
    """Sheds requests whose calls would overload a service below their own.

    The service says only which share of such calls it can take, as they do not tell their class.
    This node knows the mix of classes that it lets in above that service, and fills the share in
    the order of importance. Belongs to one event loop.
    """

    def __init__(self, shares: Shares, below: Callable[[str], frozenset[str]]) -> None:
        """Starts without knowing a mix.

        Args:
            shares: What services below can take.
            below: Returns all services below a service.
        """
        self._shares = shares
        self._below = below
        self._mixes: dict[str, dict[call.Importance, decay.DecayingRate]] = {}

    def check(self, request_id: str, importance: call.Importance, service: str, now: float) -> None:
        """Refuses a request if the calls below it are beyond what a service can take.

        Args:
            request_id: The request.
            importance: Its class.
            service: Service that it goes to.
            now: Monotonic time in seconds.

        Raises:
            CallError: It is shed; the verdict is NOT_RUN.
        """
        for name in self._below(service):
            self._mix(name, importance, now).note(now)
            share = self._shares.unattributed(name, now)
            if share >= 1.0:
                continue
            if load.position(request_id) >= self._allowed(name, importance, share, now):
                raise admission.refusal(
                    "shed", f"service '{name}' below '{service}' is overloaded", request_id
                )

    def _mix(self, service: str, importance: call.Importance, now: float) -> decay.DecayingRate:
        mix = self._mixes.setdefault(service, {})
        rate = mix.get(importance)
        if rate is None:
            rate = mix[importance] = decay.DecayingRate(MIX_WINDOW_S, now)
        return rate

    def _allowed(
        self, service: str, importance: call.Importance, share: float, now: float
    ) -> float:
        """Returns the share of a class if classes are filled in the order of importance."""
        rates = {level: rate.rate(now) for level, rate in self._mixes[service].items()}
        before = sum(rate for level, rate in rates.items() if level < importance)
        left = share * sum(rates.values()) - before
        return left / rates[importance] if rates[importance] else 1.0
