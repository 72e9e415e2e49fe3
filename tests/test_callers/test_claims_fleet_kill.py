"""The store comes back from copies, and all processes end, at any step: no key runs twice.

No process hears of a restoration from one that has ended. Each has a clock of its own, which shows
any time at its start. The record of restorations alone connects them.
"""

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from bergamotridge import errors
from bergamotridge.callers import claims
from bergamotridge.nodes import gossip_pb2, restoration_news
from bergamotridge.store import restoration_record, restoration_recorder, restorations
from tests import fake_objects
from tests.test_callers import test_claims_restored, test_claims_safety

LIFETIME_S = test_claims_safety.KEY_LIFETIME_S
RESERVATION_S = claims.reservation_s(LIFETIME_S)
HOSTS = st.sampled_from(test_claims_safety.HOSTS)


class FleetKillMachine(test_claims_restored.RestoredClaimsMachine):
    """The faults of the parent class; restorations that nobody has to notice, kills of all."""

    def __init__(self):
        self.clock_offsets, self.recorders, self.records = {}, {}, {}
        self.ended_clients = []
        super().__init__()

    def clock(self, host):
        return self.now + self.clock_offsets[host]

    def restart(self, host):
        self.ended_clients += [self.clients[host]] if host in self.clients else []
        test_claims_safety.ClaimsMachine.restart(self, host)
        self.clock_offsets[host] = 1000.0 * (-1) ** self.incarnation * self.incarnation
        known = self.known[host] = restorations.Restorations()
        client = self.clients[host] = fake_objects.FakeObjects(
            self.shared, lambda epoch: known.observe(epoch, self.clock(host))
        )
        record = self.records[host] = restoration_record.RestorationRecord(
            client, known, RESERVATION_S, lambda: self.clock(host)
        )
        self.recorders[host] = restoration_recorder.RestorationRecorder(
            record, RESERVATION_S, lambda: True, random.Random(self.incarnation)
        )
        node = self.nodes[host] = claims.Claims(
            host,
            self.incarnation,
            client,
            key_lifetime_s=LIFETIME_S,
            capacity=2,
            may_have_lost=lambda: record.is_recent(self.clock(host)),
            confirm_restorations=record.confirm,
        )
        known.add_listener(lambda _: node.handle_restoration())

    @stateful.rule(lost_writes=st.integers(1, 4))
    def restore(self, lost_writes):
        self.shared.restore(max(0, self.shared.version - lost_writes))

    @stateful.rule()
    def kill_all(self):
        for host in test_claims_safety.HOSTS:
            self.restart(host)

    @stateful.rule(host=HOSTS)
    def read(self, host):
        """A request of another part, by whose answer a process may notice a restoration."""
        try:
            self.clients[host].list("any")
        except errors.PlatformError:
            return

    @stateful.rule(host=HOSTS)
    def write_record(self, host):
        self.recorders[host].write_due(self.clock(host))

    @stateful.rule(sender=HOSTS, receiver=HOSTS)
    def tell(self, sender, receiver):
        message = gossip_pb2.GossipMessage()
        restoration_news.write(message, self.known[sender], self.clock(sender))
        restoration_news.read(message, self.known[receiver], self.clock(receiver))

    @stateful.rule(host=HOSTS)
    def perform_late_writes(self, host):
        for client in (self.clients[host], *self.ended_clients):
            client.release()


FleetKillMachine.TestCase.settings = test_claims_safety.settings(300)
TestFleetKill = FleetKillMachine.TestCase


def read_no_record(monkeypatch):
    monkeypatch.setattr(restoration_record.RestorationRecord, "confirm", lambda self: None)


def take_a_reserved_record_for_ended(monkeypatch):
    monkeypatch.setattr(
        restoration_record._StoredRecord,
        "shows_restoration",
        lambda self: self.record is None or self.record.epoch != self.version.epoch,
    )


def take_a_missing_record_for_a_store_that_was_never_restored(monkeypatch):
    shows_restoration = restoration_record._StoredRecord.shows_restoration
    monkeypatch.setattr(
        restoration_record._StoredRecord,
        "shows_restoration",
        lambda self: self.version.exists and shows_restoration(self),
    )


def take_a_record_of_an_earlier_epoch_for_the_present(monkeypatch):
    monkeypatch.setattr(
        restoration_record._StoredRecord,
        "shows_restoration",
        lambda self: self.version.exists and (self.record is None or self.record.is_reserved),
    )


@pytest.mark.parametrize(
    "plant_fault",
    [
        read_no_record,
        take_a_reserved_record_for_ended,
        take_a_missing_record_for_a_store_that_was_never_restored,
        take_a_record_of_an_earlier_epoch_for_the_present,
    ],
)
def test_planted_fault_is_detected(monkeypatch, plant_fault):
    plant_fault(monkeypatch)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            FleetKillMachine,
            settings=test_claims_safety.settings(10_000, (hypothesis.Phase.generate,)),
        )
