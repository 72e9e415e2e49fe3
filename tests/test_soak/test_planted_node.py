"""Faults that the soak plants in nodes: their names, when they act, and that they are found."""

import attrs
import pytest

from soak.machines import __main__ as machines
from soak.machines import draw, planted, planted_node, shape

SEED, MACHINES, DURATION_S = 5, 4, 8.0


@pytest.mark.parametrize("text", ["", "closed", "gone:callers:any:1", "closed:callers:never:1"])
def test_a_fault_that_does_not_exist_is_refused(text):
    with pytest.raises(planted_node.FaultError):
        planted_node.Fault.parse(text)


def test_all_faults_of_the_table_exist_once():
    faults = [planted_node.Fault.parse(case.fault) for case in planted.CASES]
    assert len(set(faults)) == len(faults)
    assert {fault.moment for fault in faults} == set(planted_node.MOMENTS)


@pytest.mark.parametrize(
    ("moment", "changed", "holds"),
    [
        ("any", {}, True),
        ("stop", {}, False),
        ("stop", {"stopping_since": 9.9}, True),
        ("late stop", {"stopping_since": 9.0}, False),
        ("late stop", {"stopping_since": 8.0}, True),
        ("reload", {"reloaded_at": 8.0}, True),
        ("reload", {"reloaded_at": 6.0}, False),
        ("configuration", {"configured_at": 8.0}, True),
        ("reused", {}, True),
        ("pieces", {}, False),
    ],
)
def test_a_fault_acts_at_its_moment_only(moment, changed, holds):
    moments = attrs.evolve(planted_node.Moments(), **changed)
    assert moments.hold(moment, answered=1, pieces=1, now=10.0) is holds


# The soak had no finding while each of the first two acted; the last broke the planter itself.
@pytest.mark.parametrize(
    ("fault", "rule"),
    [
        ("503:callers:stop:0.5", "LOST"),
        ("never:callers:any:0.05", "LOST"),
        ("cut:upstream:any:0.05", "MIXED"),
    ],
)
def test_a_fault_that_went_unseen_is_found(tmp_path, fault, rule):
    of = attrs.evolve(shape.load("repairs"), styles=("kept",))
    plan = draw.draw_plan(SEED, DURATION_S, MACHINES, 1, of.clients, ("stop",))
    _, found = machines.run_plan(plan, tmp_path, of, planted=fault)
    named = machines.list_planted(tmp_path)
    by_fault = [finding for finding in found if any(name in finding.text for name in named)]
    assert named and rule in {finding.rule for finding in by_fault}
