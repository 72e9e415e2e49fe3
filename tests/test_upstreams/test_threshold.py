"""The threshold sheds only where calls had to wait."""

from bergamotridge import call
from bergamotridge.nodes import record
from bergamotridge.upstreams import admission, outcome

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
