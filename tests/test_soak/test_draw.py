"""Plans depend on the seed alone, and all kinds of events are drawn."""

import json

import attrs

from bergamotridge.operators import operator_text
from soak import callers, draw, plan, seeds

SEEDS = range(60)


def test_plan_depends_on_the_seed_alone():
    assert draw.draw_plan(7, 30.0, 8) == draw.draw_plan(7, 30.0, 8)
    assert draw.draw_plan(7, 30.0, 8) != draw.draw_plan(8, 30.0, 8)


def test_all_kinds_of_events_are_drawn_and_printed():
    plans = [draw.draw_plan(seed, 30.0, 8) for seed in SEEDS]
    drawn_kinds = {event.kind for item in plans for event in item.events}
    assert drawn_kinds == set(plan.Kind)
    lines = plan.format_plan(plans[0])
    assert len(lines) == 2 + len(plans[0].events)


def test_network_faults_are_drawn_only_with_a_network():
    of_network = {plan.Kind.CUT, plan.Kind.LINK_FAULT, plan.Kind.LINK_RESET}
    for seed in SEEDS:
        drawn = draw.draw_plan(seed, 30.0, 8)
        assert drawn.network or not of_network & {event.kind for event in drawn.events}


def test_planned_stops_often_meet_a_failing_platform():
    both = 0
    for seed in SEEDS:
        events = draw.draw_plan(seed, 30.0, 8).events
        stops = [event.at_s for event in events if event.kind is plan.Kind.NODE_STOP]
        failures = [event for event in events if event.kind.startswith("platform-")]
        both += any(
            item.at_s <= stop <= item.at_s + item.for_s for item in failures for stop in stops
        )
    assert both > len(SEEDS) / 2


def test_time_limits_of_routes_end_within_the_drain_time():
    # Else a call that is taken right after SIGTERM could be cut off.
    for seed in SEEDS:
        assert draw.draw_plan(seed, 30.0, 8).drain_s > (max(draw.NOTICE_S) + plan.TIMEOUT_S)


def test_text_of_each_generation_is_valid():
    for generation in (1, 2):
        text = operator_text.parse(plan.build_text(generation), "text")
        assert max(route.timeout_s for route in text.routes.values()) == plan.TIMEOUT_S
        assert {name: (team.rate, team.burst) for name, team in text.teams.items()} == plan.LIMITS


def test_failed_seeds_can_be_read():
    assert seeds.parse("# a comment\n\n12 0.5 8  # cause\n") == [seeds.Case(12, 0.5, 8)]
    for case in seeds.read_failed():
        assert draw.draw_plan(case.seed, case.minutes * 60, case.hosts).events


def test_assignments_survive_their_file(tmp_path):
    drawn = draw.draw_plan(1, 30.0, 8)
    assignments = [
        callers.Assignment(caller, 1, "key", "127.0.0.1:1", ("127.0.0.1:2",))
        for caller in drawn.callers
    ]
    path = tmp_path / "callers.json"
    callers.write_assignments(path, assignments)
    assert callers.read_assignments(str(path)) == assignments
    assert json.loads(path.read_text())[0]["caller"] == attrs.asdict(drawn.callers[0])
