"""The threshold sheds only where calls had to wait."""

import pytest

from bergamotridge import call
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import admission, outcome, threshold

STALL_S = 0.5
GAP_S = 0.0005


def test_a_stall_of_the_machine_does_not_shed_a_caller_that_never_waited():
    gate = admission.Admission(50, 64, 400)
    now = 0.0
    gate.announce(record.State.READY, 50, 400, now)
    for number in range(4000):
        context = call.CallContext(
            f"r{number}", "team", call.Importance.SHEDDABLE, now + 5.0, 0, True
        )
        entry = gate.offer(context, now, lambda _: None)
        now += STALL_S if number % 1000 == 999 else GAP_S
        gate.finish(entry, outcome.Outcome.OK, now)
        assert gate.report(now).threshold.open, number


def test_critical_calls_are_not_shed_on_an_estimate_while_none_of_them_waits():
    controller = threshold.ThresholdController()
    controller.held(0.7)
    now = 0.0
    controller.update(8, 8, {}, now)
    for number in range(10):
        for importance in call.Importance:
            for _ in range(4):
                context = call.CallContext(f"r{number}", "a", importance, now + 5.0, 0, True)
                controller.arrived(context)
        controller.waited()
        now += 0.1
        controller.update(8, 8, {call.Importance.STANDARD: 6}, now)
    share = controller.threshold.share
    assert share(call.Importance.CRITICAL, "a") == 1.0
    assert share(call.Importance.STANDARD, "a") < 1.0


def _interval(controller, now, limit, in_flight, waiting, direct=0, unattributed=0):
    """Lets calls arrive and closes an interval."""
    for number in range(direct):
        context = call.CallContext(f"d{number}", "a", call.Importance.SHEDDABLE, now + 5.0, 0, True)
        controller.arrived(context)
    for number in range(unattributed):
        context = call.CallContext(
            f"u{number}", "", call.Importance.CRITICAL, now + 5.0, 1, True, unattributed=True
        )
        controller.arrived(context)
    if waiting:
        controller.waited()
    controller.update(limit, in_flight, {call.Importance.CRITICAL: waiting}, now)


def _overloaded(seconds=2.0):
    """Returns a controller after calls of unknown requests took three times its capacity."""
    controller = threshold.ThresholdController()
    controller.held(0.04)
    now = 0.0
    controller.update(40, 40, {}, now)
    while now < seconds:
        now += 0.05
        _interval(controller, now, 40, 40, 60, direct=2, unattributed=150)
    return controller, now


def test_calls_of_unknown_requests_do_not_starve_those_that_come_by_themselves():
    controller, _ = _overloaded()
    assert controller.threshold.share(call.Importance.SHEDDABLE, "a") == 1.0


def test_the_share_of_calls_of_unknown_requests_falls_while_calls_wait():
    controller, _ = _overloaded()
    assert controller.threshold.unattributed < 0.1


def test_the_share_of_calls_of_unknown_requests_rises_with_free_slots():
    controller, now = _overloaded()
    for _ in range(40):
        now += 0.05
        _interval(controller, now, 40, 10, 0, direct=2, unattributed=5)
    assert controller.threshold.open


def test_a_threshold_keeps_the_share_of_calls_of_unknown_requests_on_its_way():
    controller, _ = _overloaded(0.4)
    told = controller.threshold
    assert load.decode_threshold(told.encoded).unattributed == pytest.approx(
        told.unattributed, abs=0.001
    )


def test_the_share_of_calls_of_unknown_requests_is_told_beside_any_number_of_teams():
    controller, now = _overloaded()
    for _ in range(20):
        now += 0.05
        for team in range(2 * threshold.LISTED_TEAMS):
            for number in range(20):
                context = call.CallContext(
                    f"t{team}-{number}", f"t{team}", call.Importance.SHEDDABLE, now + 5.0, 0, True
                )
                controller.arrived(context)
        _interval(controller, now, 40, 40, 60, unattributed=150)
    assert len(controller.threshold.shares) > threshold.LISTED_TEAMS
    assert controller.threshold.unattributed < 0.1


def test_a_stall_does_not_shut_out_calls_of_unknown_requests():
    controller = threshold.ThresholdController()
    controller.held(0.04)
    controller.update(40, 0, {}, 0.0)
    _interval(controller, 0.05, 40, 40, 0, unattributed=10)
    _interval(controller, 4.05, 40, 40, 60, unattributed=60)
    assert controller.threshold.unattributed > 0.5
