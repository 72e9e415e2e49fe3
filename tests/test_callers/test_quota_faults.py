"""The check of every window detects faults injected into the quota decisions."""

import attrs
import hypothesis
import pytest
from hypothesis import stateful

from bergamotridge.callers import lending_bucket
from bergamotridge.store import holding, quota
from tests import history_rates
from tests.test_callers import test_quota_safety

SETTINGS = hypothesis.settings(
    max_examples=400,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


def raise_share_before_confirmation(monkeypatch):
    decide = holding.Holding.decide

    def faulty(self, decision_inputs, now):
        write = decide(self, decision_inputs, now)
        if write is not None and write.share is not None:
            self._own, self._lease_end = write.share, now + 100.0
        return write

    monkeypatch.setattr(holding.Holding, "decide", faulty)


def lower_share_before_loans_end(monkeypatch):
    decide = holding.Holding.decide

    def faulty(self, decision_inputs, now):
        return decide(self, attrs.evolve(decision_inputs, lent=0), now)

    monkeypatch.setattr(holding.Holding, "decide", faulty)


def start_with_full_bucket(monkeypatch):
    resize = lending_bucket.LendingBucket.resize

    def faulty(self, rate, burst, predecessor_loans_end, now):
        is_new = self._bucket.burst == 0.0
        resize(self, rate, burst, predecessor_loans_end, now)
        if is_new:
            self._bucket._level = burst

    monkeypatch.setattr(lending_bucket.LendingBucket, "resize", faulty)


def ignore_loans_of_predecessor(monkeypatch):
    monkeypatch.setattr(holding.Holding, "predecessor_loans_end", float("-inf"))


def ignore_end_of_lease(monkeypatch):
    def faulty(self, now):
        return self._own.parts if self._own else 0

    monkeypatch.setattr(holding.Holding, "usable", faulty)


def treat_unknown_write_as_failed(monkeypatch):
    def faulty(self, write):
        self._max_parts_while_lowering = quota.PARTS

    monkeypatch.setattr(holding.Holding, "record_unknown_outcome", faulty)


def count_lent_tokens_as_spent(monkeypatch):
    lend = lending_bucket.LendingBucket.lend

    def faulty(self, drawer, wanted, demand, now):
        grant = lend(self, drawer, wanted, demand, now)
        self.settle(grant.batch, grant.granted, 0, now)
        return grant

    monkeypatch.setattr(lending_bucket.LendingBucket, "lend", faulty)


@pytest.mark.parametrize(
    "inject_fault",
    [
        start_with_full_bucket,
        ignore_end_of_lease,
        treat_unknown_write_as_failed,
        count_lent_tokens_as_spent,
    ],
)
def test_injected_fault_is_detected(monkeypatch, inject_fault):
    inject_fault(monkeypatch)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(test_quota_safety.QuotaMachine, settings=SETTINGS)


def excess_after_draw_ahead(event):
    """Returns the excess over rate and burst after an event at a holder that has lent tokens.

    Another node draws tokens ahead before the event; afterwards all tokens are spent.
    """
    machine = test_quota_safety.QuotaMachine()
    fleet = machine.fleet
    holder = next(host for host in ("a0", "a1") if fleet.is_chosen(host))
    fleet.hoard("a1" if holder == "a0" else "a0", 12)
    event(machine, holder)
    machine.work(2.0)
    fleet.drain()
    team = test_quota_safety.TEAM
    return history_rates.worst_excess(fleet.admitted, team.rate, team.burst)


def replace_process(machine, holder):
    machine.fleet.start(holder)


def lose_member(machine, holder):
    machine.fleet.spread({holder})


@pytest.mark.parametrize(
    ("event", "inject_fault"),
    [(replace_process, ignore_loans_of_predecessor), (lose_member, lower_share_before_loans_end)],
)
def test_lent_tokens_are_counted_while_a_share_moves(monkeypatch, event, inject_fault):
    assert excess_after_draw_ahead(event) <= history_rates.ROUNDING
    inject_fault(monkeypatch)
    assert excess_after_draw_ahead(event) > 1.0


def excess_after_late_write():
    """Returns the excess over rate and burst after a late write that raises a share.

    The parts that the write would have taken go to another holder.
    """
    fleet = test_quota_safety.QuotaMachine().fleet
    first, second = (host for host in fleet.processes if fleet.is_chosen(host))
    fleet.adjust(second, leaving=True)
    # Free parts are not reserved for other holders while no other host can become one.
    fleet.spread({host for host in fleet.processes if host[0] == second[0]})
    fleet.processes[first].client.faults.hold_writes = 1
    # The first look may still find the share of the other holder.
    for _ in range(2):
        fleet.adjust(first)
    fleet.spread(set())
    fleet.adjust(second)
    fleet.now += 5.0
    fleet.drain()
    team = test_quota_safety.TEAM
    return history_rates.worst_excess(fleet.admitted, team.rate, team.burst)


def test_a_share_is_raised_only_after_its_write_is_confirmed(monkeypatch):
    assert excess_after_late_write() <= history_rates.ROUNDING
    raise_share_before_confirmation(monkeypatch)
    assert excess_after_late_write() > 1.0
