"""The platform comes back from a copy without the latest claims: no key runs twice.

A caller repeats a key that it chose within the time for which a key is valid.
"""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from bergamotridge import errors, verdict
from bergamotridge.callers import claims
from bergamotridge.store import restorations
from standins import store
from tests import fake_objects
from tests.test_callers import test_claims, test_claims_safety

LIFETIME_S = test_claims_safety.KEY_LIFETIME_S


class RestoredClaimsMachine(test_claims_safety.ClaimsMachine):
    """The faults of the parent class, and restorations that lose the latest claims."""

    def __init__(self):
        self.known = {}
        super().__init__()

    def restart(self, host):
        super().restart(host)
        known = self.known[host] = restorations.Restorations()
        known.observe(self.shared.epoch, self.now)
        for other in self.known.values():
            if other.latest is not None:
                known.learn(other.latest.epoch, self.now - other.latest.noticed_at, self.now)
        self.clients[host] = fake_objects.FakeObjects(
            self.shared, lambda epoch: known.observe(epoch, self.now)
        )
        node = self.nodes[host] = claims.Claims(
            host,
            self.incarnation,
            self.clients[host],
            key_lifetime_s=LIFETIME_S,
            capacity=2,
            may_have_lost=lambda: known.recent_epoch(node.reservation_s, self.now) is not None,
        )
        known.add_listener(lambda _: node.handle_restoration())

    @stateful.rule(lost_writes=st.integers(1, 4), witness=st.sampled_from(test_claims_safety.HOSTS))
    def restore(self, lost_writes, witness):
        """The store is restored; the nodes that reach it notice, and one does in any case."""
        self.shared.restore(max(0, self.shared.version - lost_writes))
        self.clients[witness].faults.outage = False
        for host, known in self.known.items():
            if not self.clients[host].faults.outage:
                known.observe(self.shared.epoch, self.now)

    @stateful.rule(seconds=st.sampled_from((1.0, 10.0, 31.0)))
    def wait(self, seconds):
        """Time passes; keys that callers chose are not repeated for longer than they are valid."""
        self.now += seconds
        if seconds > LIFETIME_S:
            self.keys = [f"later-{self.now}-{number}" for number in range(len(self.keys))]

    @stateful.rule(host=st.sampled_from(test_claims_safety.HOSTS))
    def write_again(self, host):
        try:
            self.nodes[host].write_again(5, 0)
        except errors.PlatformError:
            return


RestoredClaimsMachine.TestCase.settings = test_claims_safety.settings(150)
TestRestoredClaims = RestoredClaimsMachine.TestCase


def hear_of_no_restoration(monkeypatch):
    monkeypatch.setattr(restorations.Restorations, "recent_epoch", lambda self, age_s, now: None)


# A key claimed in the lost seconds could be claimed once more.
def test_the_machine_finds_nodes_that_do_not_heed_restorations(monkeypatch):
    hear_of_no_restoration(monkeypatch)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            RestoredClaimsMachine,
            settings=test_claims_safety.settings(1000, (hypothesis.Phase.generate,)),
        )


def _claims(shared, host, clock):
    known = restorations.Restorations()
    client = fake_objects.FakeObjects(shared, lambda epoch: known.observe(epoch, clock[0]))
    client.list("any")
    node = claims.Claims(
        host,
        1,
        client,
        key_lifetime_s=LIFETIME_S,
        may_have_lost=lambda: known.recent_epoch(node.reservation_s, clock[0]) is not None,
    )
    known.add_listener(lambda _: node.handle_restoration())
    return node


def test_a_lost_claim_is_written_again_and_found_after_the_reservation():
    shared, clock = store.Store(), [0.0]
    home, other = _claims(shared, "a", clock), _claims(shared, "b", clock)
    home.begin("mine", "utrecht", "pay", 0.0).finish(verdict.Verdict.RUN, test_claims.ANSWER, 0.0)
    shared.restore(0)
    other._claim_objects._client.list("any")  # By its other reads the node notices.
    with pytest.raises(errors.CallError, match="restored"):
        other.begin("mine", "utrecht", "pay", 0.0)
    assert home.write_again(5, 0) == 1
    assert home.write_again(5, 1) == 0
    clock[0] = LIFETIME_S * 1.1
    with pytest.raises(errors.ClaimedElsewhereError) as caught:
        other.begin("mine", "utrecht", "pay", clock[0])
    assert caught.value.host == "a"


# A claim that was confirmed before, but had not run, was used without a look at the platform.
def test_a_claim_that_has_not_run_is_no_claim_once_a_restoration_may_have_lost_it():
    shared, clock = store.Store(), [0.0]
    home = _claims(shared, "a", clock)
    home.begin("mine", "utrecht", "pay", 0.0).finish(verdict.Verdict.NOT_RUN, None, 0.0)
    shared.restore(0)
    clock[0] = LIFETIME_S * 1.1
    with pytest.raises(errors.CallError):
        home.begin("mine", "utrecht", "pay", clock[0])
