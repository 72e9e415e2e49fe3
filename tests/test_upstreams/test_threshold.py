"""The threshold sheds calls only where calls had to wait."""

import pytest

from bergamotridge import call
from bergamotridge.nodes import load, record
from bergamotridge.upstreams import admission, outcome, threshold

STALL_S = 0.5
CALL_S = 0.0005


@pytest.mark.parametrize("scarce", [True, False])
def test_a_stall_of_the_machine_does_not_shed_calls_that_never_waited(scarce):
    # A stall prolongs the hold time of a call and so lowers the capacity estimate.
    admitter = admission.Admission(50, 64, 400, scarce=scarce)
    now = 0.0
    admitter.apply_announcement(record.State.READY, 50, 400, now)
    for number in range(4000):
        context = call.CallContext(
            f"r{number}", "team", call.Importance.SHEDDABLE, now + 5.0, 0, True
        )
        entry = admitter.offer(context, now, lambda _: None)
        now += STALL_S if number % 1000 == 999 else CALL_S
        admitter.finish(entry, outcome.Outcome.OK, now)
        assert admitter.report(now).threshold.admits_all, number


def test_critical_calls_are_not_shed_on_an_estimate_while_none_of_them_waits():
    controller = threshold.ThresholdController()
    controller.record_hold_time(0.7)
    now = 0.0
    controller.update(8, 8, {}, now)
    for number in range(10):
        for importance in call.Importance:
            for _ in range(4):
                context = call.CallContext(f"r{number}", "a", importance, now + 5.0, 0, True)
                controller.record_arrival(context)
        controller.record_wait()
        now += 0.1
        controller.update(8, 8, {call.Importance.STANDARD: 6}, now)
    share = controller.threshold.share
    assert share(call.Importance.CRITICAL, "a") == 1.0
    assert share(call.Importance.STANDARD, "a") < 1.0


def _run_interval(controller, now, limit, in_flight, waiting, attributed=0, unattributed=0):
    """Records arrivals and, if `waiting` is not 0, a wait; then updates the threshold at `now`."""
    for number in range(attributed):
        context = call.CallContext(f"d{number}", "a", call.Importance.SHEDDABLE, now + 5.0, 0, True)
        controller.record_arrival(context)
    for number in range(unattributed):
        context = call.CallContext(
            f"u{number}", "", call.Importance.CRITICAL, now + 5.0, 1, True, unattributed=True
        )
        controller.record_arrival(context)
    if waiting:
        controller.record_wait()
    controller.update(limit, in_flight, {call.Importance.CRITICAL: waiting}, now)


def _make_overloaded_controller(duration_s=2.0):
    """Returns a controller after `duration_s` of unattributed calls, and the time.

    The calls arrive at three times the capacity of the upstream.
    """
    controller = threshold.ThresholdController()
    controller.record_hold_time(0.04)
    now = 0.0
    controller.update(40, 40, {}, now)
    while now < duration_s:
        now += 0.05
        _run_interval(controller, now, 40, 40, 60, attributed=2, unattributed=150)
    return controller, now


def test_unattributed_calls_do_not_starve_attributed_calls():
    controller, _ = _make_overloaded_controller()
    assert controller.threshold.share(call.Importance.SHEDDABLE, "a") == 1.0


def test_the_share_of_unattributed_calls_falls_while_calls_wait():
    controller, _ = _make_overloaded_controller()
    assert controller.threshold.unattributed < 0.1


def test_the_share_of_unattributed_calls_rises_with_free_slots():
    controller, now = _make_overloaded_controller()
    for _ in range(40):
        now += 0.05
        _run_interval(controller, now, 40, 10, 0, attributed=2, unattributed=5)
    assert controller.threshold.admits_all


def test_an_encoded_threshold_keeps_the_share_of_unattributed_calls():
    controller, _ = _make_overloaded_controller(0.4)
    original = controller.threshold
    assert load.decode_threshold(original.encoded).unattributed == pytest.approx(
        original.unattributed, abs=0.001
    )


def test_the_share_of_unattributed_calls_is_listed_with_any_number_of_teams():
    controller, now = _make_overloaded_controller()
    for _ in range(20):
        now += 0.05
        for team in range(2 * threshold.MAX_LISTED_SHARES):
            for number in range(20):
                context = call.CallContext(
                    f"t{team}-{number}", f"t{team}", call.Importance.SHEDDABLE, now + 5.0, 0, True
                )
                controller.record_arrival(context)
        _run_interval(controller, now, 40, 40, 60, unattributed=150)
    assert len(controller.threshold.shares) > threshold.MAX_LISTED_SHARES
    assert controller.threshold.unattributed < 0.1


def test_a_stall_does_not_shed_most_unattributed_calls():
    controller = threshold.ThresholdController()
    controller.record_hold_time(0.04)
    controller.update(40, 0, {}, 0.0)
    _run_interval(controller, 0.05, 40, 40, 0, unattributed=10)
    _run_interval(controller, 4.05, 40, 40, 60, unattributed=60)
    assert controller.threshold.unattributed > 0.5
