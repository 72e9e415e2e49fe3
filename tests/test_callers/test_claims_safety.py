"""Random sequences of calls and faults: at most one run for each key, and true verdicts.

Guards against a second run of a call, or a refusal that wrongly says that the call has not run,
after a node restart, a platform outage, a lost answer or a late write. Three faults that are put
into the code on purpose must be detected.
"""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from bergamotridge import errors, verdict
from bergamotridge.callers import answers, claim_state, claims, idempotency
from bergamotridge.store import claim_objects
from standins import store
from tests import fake_objects, history_once

HOSTS = ("a", "b", "c")
KEY_LIFETIME_S = 30.0
TEAM = "utrecht"
KEYS = st.integers(0, 3)
ANSWER = answers.StoredAnswer(200, (), b"")


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Three hosts get repeats; nodes restart; platform requests fail, or take effect late."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.incarnation = 0
        self.shared = store.Store()
        self.history = history_once.OnceHistory()
        self.nodes, self.clients, self.running_calls = {}, {}, {}
        self.reachable = set(HOSTS)
        for host in HOSTS:
            self.restart(host)
        self.keys = ["chosen-0", "chosen-1", self.nodes["a"].issue(100.0), "chosen-3"]

    def restart(self, host):
        self.incarnation += 1
        self.clients[host] = fake_objects.FakeObjects(self.shared)
        self.nodes[host] = claims.Claims(
            host, self.incarnation, self.clients[host], key_lifetime_s=KEY_LIFETIME_S, capacity=2
        )
        self.running_calls[host] = []

    def begin(self, host, key, relayed=False):
        """Sends a call to a host; returns the verdict if it is refused, None if it is not."""
        home = self.nodes[host].home_host(key)
        if home != host:
            return self.relay(home, key)
        try:
            claim = self.nodes[host].begin(key, TEAM, "pay", self.now)
        except errors.ClaimedElsewhereError as error:
            if relayed or error.host == host:
                return error.verdict
            return self.relay(error.host, key)
        except errors.CallError as error:
            return error.verdict
        if claim.first:
            self.running_calls[host].append((claim, self.history.start((TEAM, key))))
            return None
        return None if claim.wait(0.0) else claim.outcome

    def relay(self, host, key):
        if host not in self.reachable:
            return verdict.Verdict.MAY_HAVE_RUN
        return self.begin(host, key, relayed=True)

    @stateful.rule(host=st.sampled_from(HOSTS), index=KEYS)
    def call(self, host, index):
        refusal_verdict = self.begin(host, self.keys[index])
        if refusal_verdict is not None:
            self.history.refuse((TEAM, self.keys[index]), refusal_verdict)

    @stateful.rule(host=st.sampled_from(HOSTS), outcome=st.sampled_from(verdict.Verdict))
    def finish(self, host, outcome):
        if self.running_calls[host]:
            claim, run = self.running_calls[host].pop(0)
            self.history.end(run, outcome)
            answer = ANSWER if outcome is verdict.Verdict.RUN else None
            claim.finish(outcome, answer, self.now)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def kill(self, host):
        self.restart(host)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def cut_or_restore_connection(self, host):
        self.reachable ^= {host}

    @stateful.rule(index=KEYS, host=st.sampled_from(HOSTS), issued=st.booleans())
    def replace_key(self, index, host, issued):
        chosen = f"chosen-{len(self.history.runs)}-{self.now}"
        self.keys[index] = self.nodes[host].issue(self.now) if issued else chosen

    @stateful.rule(seconds=st.sampled_from((1.0, 10.0, 31.0)))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(host=st.sampled_from(HOSTS), fault=st.sampled_from(("out", "lost", "late")))
    def fault(self, host, fault):
        faults = self.clients[host].faults
        faults.outage ^= fault == "out"
        faults.lose_answers += fault == "lost"
        faults.hold_writes += fault == "late"

    @stateful.rule(host=st.sampled_from(HOSTS))
    def perform_late_writes(self, host):
        self.clients[host].release()


def settings(examples, phases=tuple(hypothesis.Phase)):
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        database=None,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


ClaimsMachine.TestCase.settings = settings(150)
TestClaims = ClaimsMachine.TestCase


def treat_an_unconfirmed_write_as_a_claim(monkeypatch):
    create = claim_objects.ClaimObjects.create

    def planted(self, name, owner, created_ms):
        try:
            return create(self, name, owner, created_ms)
        except errors.PlatformUnavailableError:
            return owner

    monkeypatch.setattr(claim_objects.ClaimObjects, "create", planted)


def release_a_key_after_may_have_run(monkeypatch):
    finish = claim_state.Claim.finish

    def planted(self, outcome, answer, now):
        may_have_run = outcome is verdict.Verdict.MAY_HAVE_RUN
        finish(self, verdict.Verdict.NOT_RUN if may_have_run else outcome, answer, now)

    monkeypatch.setattr(claim_state.Claim, "finish", planted)


def accept_keys_of_an_earlier_process(monkeypatch):
    monkeypatch.setattr(idempotency.KeyIssuer, "check", lambda self, key, now: None)


@pytest.mark.parametrize(
    "plant_fault",
    [
        treat_an_unconfirmed_write_as_a_claim,
        release_a_key_after_may_have_run,
        accept_keys_of_an_earlier_process,
    ],
)
def test_planted_fault_is_detected(monkeypatch, plant_fault):
    plant_fault(monkeypatch)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            ClaimsMachine, settings=settings(1000, (hypothesis.Phase.generate,))
        )
