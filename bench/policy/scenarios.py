"""Scenarios: the demand of the clients and the faults, with their times."""

from collections.abc import Callable, Mapping

import attrs

from bench.policy import deployment, upstream, world

START_S = 2.0
END_S = 6.0
LAST_ARRIVAL_S = 11.5
BASE_LOAD_RATIO = 0.7  # Demand outside the trigger, as a multiple of capacity.
COLD_CALLS = 200

Faults = Callable[[world.World], None]


def _no_faults(fleet: world.World) -> None:
    del fleet


def _no_change(described: deployment.Deployment) -> deployment.Deployment:
    return described


@attrs.frozen
class Scenario:
    """One scenario; its trigger (a surge or a fault) lasts from START_S to END_S.

    The deepest service is the one at the end of most paths.

    Attributes:
        name: Name in the tables.
        surge_load: Demand during the trigger as a multiple of capacity.
        greedy_factor: Demand of the first team during the trigger, as a multiple of its usual one.
        max_tries: Number of tries of a client before it gives up.
        faults: Schedules the faults.
        slots_left_fraction: Fraction of the deepest service's slots that is left in the trigger.
        slow_factor: Service time of the deepest service in the trigger, as a multiple of normal.
    """

    name: str
    surge_load: float = BASE_LOAD_RATIO
    greedy_factor: float = 1.0
    max_tries: int = 1
    faults: Faults = _no_faults
    slots_left_fraction: float = 1.0
    slow_factor: float = 1.0


def deepest_nodes(fleet: world.World) -> list[world.Node]:
    """Returns the nodes of the deepest service, the one at the end of most paths."""
    return fleet.nodes_of_service(list(fleet.deployment.service_time_s)[-1])


def _schedule_fault(
    fleet: world.World,
    begin: Callable[[upstream.Upstream], None],
    end: Callable[[upstream.Upstream], None],
    servers: int,
) -> None:
    for node in deepest_nodes(fleet)[:servers]:
        fleet.loop.call_after(START_S, lambda faulty=node.upstream: begin(faulty))
        fleet.loop.call_after(END_S, lambda faulty=node.upstream: end(faulty))


def _slow_down(fleet: world.World) -> None:
    def begin(faulty: upstream.Upstream) -> None:
        faulty.service_time_factor = 3.0

    def end(faulty: upstream.Upstream) -> None:
        faulty.service_time_factor = 1.0

    _schedule_fault(fleet, begin, end, deployment.FAILURE_DOMAINS)


def _fail_while_ready(fleet: world.World) -> None:
    def begin(faulty: upstream.Upstream) -> None:
        faulty.fails = True

    def end(faulty: upstream.Upstream) -> None:
        faulty.fails = False

    _schedule_fault(fleet, begin, end, 1)


def _reduce_slots(fleet: world.World) -> None:
    normal = deepest_nodes(fleet)[0].upstream.slots

    def begin(faulty: upstream.Upstream) -> None:
        faulty.slots = normal * 4 // 10

    def end(faulty: upstream.Upstream) -> None:
        faulty.slots = normal

    _schedule_fault(fleet, begin, end, 1)


def _shed_early(fleet: world.World) -> None:
    normal = deepest_nodes(fleet)[0].upstream.slots

    def begin(faulty: upstream.Upstream) -> None:
        faulty.sheds_above_calls = normal * 4 // 10

    def end(faulty: upstream.Upstream) -> None:
        faulty.sheds_above_calls = None

    _schedule_fault(fleet, begin, end, 1)


def _restart_cold(fleet: world.World) -> None:
    for node in deepest_nodes(fleet)[:2]:
        fleet.loop.call_after(START_S, lambda node=node: fleet.kill(node))
        fleet.loop.call_after(START_S + 1.0, lambda node=node: fleet.revive(node, COLD_CALLS))


def _kill_host(fleet: world.World) -> None:
    node = deepest_nodes(fleet)[0]
    fleet.loop.call_after(START_S, lambda: fleet.kill(node))
    fleet.loop.call_after(END_S, lambda: fleet.revive(node, COLD_CALLS))


SCENARIOS: Mapping[str, Scenario] = {
    item.name: item
    for item in (
        Scenario("surge-2x", surge_load=2.0),
        Scenario("surge-5x", surge_load=5.0),
        Scenario("slow-deep", faults=_slow_down, slow_factor=3.0),
        Scenario("hard-clients", surge_load=2.0, max_tries=5),
        Scenario("greedy-team", greedy_factor=6.0),
        Scenario("lying-health", faults=_fail_while_ready, slots_left_fraction=0.75),
        Scenario("fewer-slots", faults=_reduce_slots, slots_left_fraction=0.85),
        Scenario("upstream-sheds", faults=_shed_early, slots_left_fraction=0.85),
        Scenario("cold-start", faults=_restart_cold, slots_left_fraction=0.5),
        Scenario("killed", faults=_kill_host, slots_left_fraction=0.75),
    )
}
