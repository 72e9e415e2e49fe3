"""Shedding of whole requests at the first node, for dependencies that get unattributed calls."""

from collections.abc import Callable
from typing import Protocol

from bergamotridge import call
from bergamotridge.callers import fair_teams
from bergamotridge.nodes import load
from bergamotridge.upstreams import refusal
from bergamotridge.util import decay

RATE_WINDOW_S = 1.0


class UnattributedShares(Protocol):
    """Source of the share of unattributed calls that each service admits."""

    def unattributed_share(self, service: str, now: float) -> float:
        """Returns the share, from 0.0 to 1.0; 1.0 if nothing has to be shed."""


class TreeShedding:
    """Sheds requests whose calls would overload a dependency of the service that they go to.

    Some upstreams do not name, in their calls to other services, the request that they process.
    Such an unattributed call carries no class of importance, so the service that receives it can
    report only the share of such calls that it admits. The node that admits the requests measures
    their rate by class for each dependency, and distributes the share among the classes in the
    order of importance, and in a class fairly between teams if so set. Not thread-safe: use it on
    one event loop.
    """

    def __init__(
        self,
        shares: UnattributedShares,
        dependencies_of: Callable[[str, str], frozenset[str]],
        *,
        returns_by_share: bool = False,
        divides_teams: bool = False,
    ) -> None:
        """Creates the shedder without any measured rate.

        Args:
            shares: Source of the shares that dependencies admit.
            dependencies_of: Returns all direct and indirect dependencies of the calls to a service
                on a route.
            returns_by_share: True to tell callers to return the sooner, the more requests are
                admitted.
            divides_teams: True to divide the share of a class fairly between teams, False to admit
                the same share of each.
        """
        self._divides_teams = divides_teams
        self._shares = shares
        self._returns_by_share = returns_by_share
        self._dependencies_of = dependencies_of
        # Rate of requests by dependency and class.
        self._rates: dict[str, dict[call.Importance, decay.DecayingRate]] = {}
        # Teams by dependency and class.
        self._teams: dict[tuple[str, call.Importance], fair_teams.FairTeams] = {}

    def check(
        self,
        request_id: str,
        importance: call.Importance,
        service: str,
        now: float,
        route: str = "",
        team: str = "",
        weight: float = 1.0,
    ) -> None:
        """Refuses a request if a dependency does not admit the calls that it would cause.

        Args:
            request_id: Id of the request.
            importance: Class of the request.
            service: Service that the request goes to.
            now: Monotonic time in seconds.
            route: Route of the request.
            team: Team of the request.
            weight: Weight of the fair share of the team.

        Raises:
            CallError: The request is shed; the verdict is NOT_RUN.
        """
        for dependency in self._dependencies_of(service, route):
            self._class_rate(dependency, importance, now).record(now)
            teams = self._teams_of(dependency, importance)
            if teams is not None:
                teams.record(team, weight, now)
            share = self._shares.unattributed_share(dependency, now)
            if share >= 1.0:
                continue
            class_share = self._class_share(dependency, importance, share, now)
            if teams is not None:
                class_share = teams.share_of(team, class_share, now)
            if load.request_position(request_id) >= class_share:
                raise refusal.build_refusal(
                    "shed",
                    f"service '{dependency}', a dependency of '{service}', is overloaded; "
                    "retry later",
                    request_id,
                    self._return_s(request_id, class_share),
                )

    def admitted_shares(
        self, importance: call.Importance, service: str, route: str, now: float
    ) -> dict[str, float]:
        """Returns the share of the requests of a class that each dependency admits, 0.0 to 1.0."""
        shares = {}
        for dependency in self._dependencies_of(service, route):
            share = self._shares.unattributed_share(dependency, now)
            if share < 1.0 and importance in self._rates.get(dependency, {}):
                share = self._class_share(dependency, importance, share, now)
            shares[dependency] = min(1.0, max(0.0, share))
        return shares

    def _return_s(self, request_id: str, class_share: float) -> float | None:
        """Returns the seconds after which a refused caller may return, None for the usual time."""
        if not self._returns_by_share:
            return None
        return refusal.compute_return_s(request_id, class_share)

    def _teams_of(
        self, dependency: str, importance: call.Importance
    ) -> fair_teams.FairTeams | None:
        if not self._divides_teams:
            return None
        key = (dependency, importance)
        teams = self._teams.get(key)
        if teams is None:
            teams = self._teams[key] = fair_teams.FairTeams()
        return teams

    def _class_rate(
        self, service: str, importance: call.Importance, now: float
    ) -> decay.DecayingRate:
        rates = self._rates.setdefault(service, {})
        rate = rates.get(importance)
        if rate is None:
            rate = rates[importance] = decay.DecayingRate(RATE_WINDOW_S, now)
        return rate

    def _class_share(
        self, service: str, importance: call.Importance, share: float, now: float
    ) -> float:
        """Returns the admitted share of a class; more important classes are served first.

        The result may be negative, or above 1.0 if the class is admitted whole.
        """
        rates = {level: rate.rate(now) for level, rate in self._rates[service].items()}
        more_important = sum(rate for level, rate in rates.items() if level < importance)
        remaining = share * sum(rates.values()) - more_important
        return remaining / rates[importance] if rates[importance] else 1.0
