"""Open-loop clients and the results of their requests."""

import random

import attrs

from bench.policy import deployment, scenarios, world
from bergamotridge import call

RETRY_DELAY_S = 0.05


@attrs.define(eq=False)
class ClientRequest:
    """One request of a client, over all tries of the client.

    Attributes:
        arrived_at: Virtual time of the first try, in seconds.
        team: Name of the client's team, "" on routes open to all.
        route: Name of the route.
        importance: Class of importance of the route.
        good: True once a whole answer has come in time.
        attempts: Largest number of attempts that one try took: 1 plus its retries at all hops.
        good_service_s: Service time spent on good tries, in seconds.
        wasted_service_s: Service time spent on failed tries, in seconds.
    """

    arrived_at: float
    team: str
    route: str
    importance: call.Importance
    good: bool = False
    attempts: int = 1
    good_service_s: float = 0.0
    wasted_service_s: float = 0.0


class ClientLoad:
    """Sends the requests of a scenario as a Poisson process, by route and team at random."""

    def __init__(
        self, fleet: world.World, scenario: scenarios.Scenario, rng: random.Random
    ) -> None:
        self.client_requests: list[ClientRequest] = []
        self._fleet = fleet
        self._scenario = scenario
        self._rng = rng
        self._deployment = fleet.deployment
        self._capacity_per_s = fleet.deployment.compute_capacity_per_s()
        self._teams = list(fleet.deployment.text.teams.values())
        self._tries_sent = 0
        self._tries: list[tuple[ClientRequest, world.Request, list[bool]]] = []
        fleet.loop.call_after(0.0, self._send_next)

    def sum_service_time(self) -> None:
        """Adds the service time of all tries to their requests; call it once, after the run."""
        for client_request, request, is_good in self._tries:
            client_request.attempts = max(client_request.attempts, 1 + request.retries)
            if is_good[0]:
                client_request.good_service_s += request.worked_s
            else:
                client_request.wasted_service_s += request.worked_s

    def _send_next(self) -> None:
        now = self._fleet.loop.now
        if now >= scenarios.LAST_ARRIVAL_S:
            return
        is_triggered = scenarios.START_S <= now < scenarios.END_S
        load = self._scenario.surge_load if is_triggered else scenarios.BASE_LOAD_RATIO
        weights = [team.rate for team in self._teams]
        if is_triggered and self._scenario.greedy_factor > 1.0:
            extra = (self._scenario.greedy_factor - 1.0) * weights[0]
            load *= 1.0 + extra / sum(weights)
            weights[0] += extra
        if now > 0.0:
            self._send_new_request(weights)
        self._fleet.loop.call_after(
            self._rng.expovariate(load * self._capacity_per_s), self._send_next
        )

    def _send_new_request(self, weights: list[float]) -> None:
        mix = self._deployment.mix
        name = self._rng.choices(list(mix), list(mix.values()))[0]
        route = self._deployment.text.routes[name]
        team = "" if route.open else self._rng.choices(self._teams, weights)[0].name
        client_request = ClientRequest(self._fleet.loop.now, team, name, route.importance)
        self.client_requests.append(client_request)
        self._start_try(client_request, 1)

    def _start_try(self, client_request: ClientRequest, number: int) -> None:
        route = self._deployment.text.routes[client_request.route]
        loop = self._fleet.loop
        self._tries_sent += 1
        request = world.Request(
            f"request-{self._tries_sent}",
            client_request.team,
            route,
            self._deployment.paths[client_request.route],
            loop.now + route.timeout_s,
        )
        is_good = [False]
        is_ended = [False]
        self._tries.append((client_request, request, is_good))

        def end_try(good: bool) -> None:
            if is_ended[0]:
                return
            is_ended[0] = True
            is_good[0] = good
            if good:
                client_request.good = True
            elif number < self._scenario.max_tries:
                loop.call_after(RETRY_DELAY_S, lambda: self._start_try(client_request, number + 1))

        client_delay_s = self._deployment.client_delay_s
        loop.call_after(route.timeout_s, lambda: end_try(False))
        loop.call_after(
            client_delay_s,
            lambda: self._fleet.send(
                request, lambda good: loop.call_after(client_delay_s, lambda: end_try(good))
            ),
        )


def run(
    described: deployment.Deployment,
    scenario: scenarios.Scenario,
    policy: world.Policy,
    seed: int,
) -> list[ClientRequest]:
    """Runs a scenario to its end and returns the requests of all clients with their results."""
    fleet = world.World(described, policy, seed)
    scenario.faults(fleet)
    client_load = ClientLoad(fleet, scenario, random.Random(seed + 1_000))
    longest_timeout_s = max(route.timeout_s for route in described.text.routes.values())
    fleet.loop.run(scenarios.LAST_ARRIVAL_S + longest_timeout_s + 1.0)
    client_load.sum_service_time()
    return client_load.client_requests
