"""The platform comes back from a copy without the latest shares: no window admits too much."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from bergamotridge.callers import quota_holder
from bergamotridge.store import quota
from tests import quota_fleet
from tests.test_callers import test_quota_safety

TEAM = test_quota_safety.TEAM


class RestoredQuotaMachine(test_quota_safety.QuotaMachine):
    """The faults of the parent class, and restorations that lose the latest writes."""

    @stateful.rule(lost_writes=st.integers(1, 15), seconds=st.sampled_from((0.0, 0.5, 2.0)))
    def restore(self, lost_writes, seconds):
        """The store is restored; time passes while the hosts look at the quota object."""
        self.fleet.restore(lost_writes)
        self.work(seconds)
        self.fleet.drain()


RestoredQuotaMachine.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestRestoredQuota = RestoredQuotaMachine.TestCase


def _fleet(seconds=8):
    fleet = quota_fleet.Fleet(2, 2, TEAM)
    _work(fleet, seconds)
    return fleet


def _work(fleet, seconds, hosts=None):
    for _ in range(seconds):
        fleet.now += 1.0
        for host in hosts or fleet.processes:
            fleet.adjust(host)


def _holders(fleet):
    return [host for host in fleet.processes if fleet.is_chosen(host)]


def _shares(fleet):
    return {host: fleet.processes[host].holder.shares(fleet.now) for host in _holders(fleet)}


# Shares written in the lost seconds were gone, while their holders used them.
def test_holders_write_the_shares_again_that_the_copy_lacks():
    fleet = _fleet()
    shares = _shares(fleet)
    fleet.restore(fleet.store.version)
    _work(fleet, 3)
    assert _shares(fleet) == shares
    stored = quota.decode_group(fleet.store.get(quota.KIND, quota_fleet.GROUP).value)
    assert {item.host for item in stored.quotas[TEAM.name].shares} == set(shares)
    assert stored.epoch == 1


# A share that its holder had given up counted as lost and was taken out of the reserved parts.
def test_a_share_given_up_after_a_restoration_is_not_taken_back():
    fleet = _fleet()
    leaving, other = _holders(fleet)[:2]
    fleet.start(other)  # Its share stays reserved.
    fleet.restore(fleet.store.version)
    _work(fleet, 2, [leaving])
    for _ in range(2):
        fleet.adjust(leaving, leaving=True)
    assert not fleet.processes[leaving].holder.held_teams()


def test_parts_of_a_holder_that_has_not_heard_are_not_taken_before_its_lease_ends():
    fleet = _fleet()
    unaware = _holders(fleet)[0]
    held = fleet.processes[unaware].holder.shares(fleet.now)[TEAM.name]
    fleet.processes[unaware].client.faults.outage = True
    fleet.restore(fleet.store.version)
    fleet.spread({unaware})
    _work(fleet, 10, [host for host in fleet.processes if host != unaware])
    assert fleet.processes[unaware].holder.shares(fleet.now)[TEAM.name] == held
    assert fleet.usable() <= quota.PARTS
    _work(fleet, 30, [host for host in fleet.processes if host != unaware])
    assert not any(fleet.processes[unaware].holder.shares(fleet.now).values())
    assert fleet.usable() > 0.95 * quota.PARTS


def test_a_process_that_started_since_takes_no_share_from_the_copy():
    fleet = _fleet()
    host = _holders(fleet)[0]
    fleet.start(host)
    fleet.restore(1)
    assert fleet.processes[host].holder.find_predecessor_teams() == []
    fleet.adjust(host)
    assert not any(fleet.processes[host].holder.shares(fleet.now).values())


def take_the_copy_for_the_present(monkeypatch):
    monkeypatch.setattr(quota_holder.QuotaHolder, "_is_lost", lambda self, stored, version: False)


def count_reserved_parts_as_free(monkeypatch):
    monkeypatch.setattr(
        quota.Quota,
        "free_parts",
        property(lambda self: quota.PARTS - sum(share.parts for share in self.shares)),
    )


SETTINGS = hypothesis.settings(
    RestoredQuotaMachine.TestCase.settings,
    max_examples=400,
    phases=[hypothesis.Phase.generate],
)


@pytest.mark.parametrize(
    "inject_fault", [take_the_copy_for_the_present, count_reserved_parts_as_free]
)
def test_the_machine_finds_an_injected_fault(monkeypatch, inject_fault):
    inject_fault(monkeypatch)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(RestoredQuotaMachine, settings=SETTINGS)
