"""Open-loop clients and what became of their requests."""

import random

import attrs

from bench.policy import deployment, scenarios, world
from bergamotridge import call

HARD_RETRY_S = 0.05


@attrs.define(eq=False)
class Wish:
    """What a client wants, over all of its tries.

    Attributes:
        at: Time of the first try, in seconds.
        team: Its team, "" on routes open to all.
        route: Name of the route.
        importance: Class of the route.
        good: True once the whole answer came in time.
        attempts: Most attempts that one try made of one request.
        worked_s: Service time spent on good tries.
        wasted_s: Service time spent on failed tries.
    """

    at: float
    team: str
    route: str
    importance: call.Importance
    good: bool = False
    attempts: int = 1
    worked_s: float = 0.0
    wasted_s: float = 0.0


class Clients:
    """Sends the requests of a scenario, Poisson by route and team."""

    def __init__(
        self, fleet: world.World, scenario: scenarios.Scenario, rng: random.Random
    ) -> None:
        self.wishes: list[Wish] = []
        self._fleet = fleet
        self._scenario = scenario
        self._rng = rng
        self._deployment = fleet.deployment
        self._capacity = fleet.deployment.capacity()
        self._teams = list(fleet.deployment.text.teams.values())
        self._ids = 0
        self._tries: list[tuple[Wish, world.Request, list[bool]]] = []
        fleet.loop.after(0.0, self._next)

    def account(self) -> None:
        """Adds up the service time of all tries; call it after the run."""
        for wish, request, result in self._tries:
            wish.attempts = max(wish.attempts, 1 + request.retries)
            if result[0]:
                wish.worked_s += request.worked_s
            else:
                wish.wasted_s += request.worked_s

    def _next(self) -> None:
        now = self._fleet.loop.now
        if now >= scenarios.LAST_ARRIVAL_S:
            return
        during = scenarios.START_S <= now < scenarios.END_S
        load = self._scenario.surge if during else scenarios.BASE_LOAD
        weights = [team.rate for team in self._teams]
        if during and self._scenario.greedy > 1.0:
            extra = (self._scenario.greedy - 1.0) * weights[0]
            load *= 1.0 + extra / sum(weights)
            weights[0] += extra
        if now > 0.0:
            self._arrive(weights)
        self._fleet.loop.after(self._rng.expovariate(load * self._capacity), self._next)

    def _arrive(self, weights: list[float]) -> None:
        mix = self._deployment.mix
        name = self._rng.choices(list(mix), list(mix.values()))[0]
        route = self._deployment.text.routes[name]
        team = "" if route.open else self._rng.choices(self._teams, weights)[0].name
        wish = Wish(self._fleet.loop.now, team, name, route.importance)
        self.wishes.append(wish)
        self._try(wish, 1)

    def _try(self, wish: Wish, number: int) -> None:
        route = self._deployment.text.routes[wish.route]
        loop = self._fleet.loop
        self._ids += 1
        request = world.Request(
            f"request-{self._ids}",
            wish.team,
            route,
            self._deployment.paths[wish.route],
            loop.now + route.timeout_s,
        )
        result = [False]
        settled = [False]
        self._tries.append((wish, request, result))

        def ended(good: bool) -> None:
            if settled[0]:
                return
            settled[0] = True
            result[0] = good
            if good:
                wish.good = True
            elif number < self._scenario.tries:
                loop.after(HARD_RETRY_S, lambda: self._try(wish, number + 1))

        client_s = self._deployment.client_s
        loop.after(route.timeout_s, lambda: ended(False))
        loop.after(
            client_s,
            lambda: self._fleet.send(
                request, lambda good: loop.after(client_s, lambda: ended(good))
            ),
        )


def run(
    described: deployment.Deployment,
    scenario: scenarios.Scenario,
    policy: world.Policy,
    seed: int,
) -> list[Wish]:
    """Runs a scenario to its end and returns what became of all wishes."""
    fleet = world.World(described, policy, seed)
    scenario.faults(fleet)
    sent = Clients(fleet, scenario, random.Random(seed + 1_000))
    longest = max(route.timeout_s for route in described.text.routes.values())
    fleet.loop.run(scenarios.LAST_ARRIVAL_S + longest + 1.0)
    sent.account()
    return sent.wishes
