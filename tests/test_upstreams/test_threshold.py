"""The threshold sheds only where calls had to wait."""

from bergamotridge import call
from bergamotridge.nodes import record
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
