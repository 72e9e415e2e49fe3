"""Reports to a process that may have forgotten a leave: which count, and when."""

import random

import attrs
import pytest

from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import departures, report_proof

START_MS = 1_790_000_000_000
HEARTBEAT_S = 1.5
LATE_S = departures.LATE_ANNOUNCEMENT_S
PROBE_S = 0.2
AGES_MS = (0, 60_000)  # Of the upstream when a history begins.
# Until an upstream that lives is served without a health check: reports may be lost.
PROOF_LIMIT_S = LATE_S + 3 * HEARTBEAT_S
SEEDS = 300


def announce(sequence, incarnation=START_MS, instance="i-1", state=record.State.READY):
    return announcements.Announcement(
        service="slots",
        address="127.0.0.1:1",
        state=state,
        incarnation=incarnation,
        slots=5,
        connections=5,
        load=0.0,
        instance=instance,
        sequence=sequence,
    )


@pytest.fixture
def proof():
    return report_proof.ReportProof(START_MS + report_proof.MIN_LIFE_MS, HEARTBEAT_S)


def believed_at(proof, reports):
    """Returns the time of the first of some (time, sequence) that counts, None if none does."""
    return next((now for now, item in reports if proof.is_believed(announce(item), now)), None)


# A fleet whose hosts start node and upstream together waited for its configuration, or for 6 s.
def test_an_upstream_that_started_with_the_process_or_after_it_needs_no_proof(proof):
    assert not proof.is_believed(announce(0), 0.0)
    assert proof.is_believed(announce(0, START_MS + 1), 0.0)
    assert proof.is_believed(announce(0, START_MS + 60_000), 0.0)


def test_a_leave_and_a_report_without_a_sequence_number_need_no_proof(proof):
    assert not proof.is_believed(announce(4), 0.0)
    assert proof.is_believed(announce(5, state=record.State.DRAINING), 0.1)
    assert proof.record_answer("i-1") is None
    assert proof.is_believed(announce(None), 0.2)


def test_the_answer_of_the_upstream_itself_is_proof(proof):
    assert not proof.is_believed(announce(4), 0.0)
    assert proof.record_answer("i-1") == announce(4)
    assert proof.is_believed(announce(5), 1.5)


# The health check of the only probe was made for a report of an upstream that had left.
def test_the_answer_of_another_upstream_is_proof_for_that_one(proof):
    assert not proof.is_believed(announce(4), 0.0)
    assert proof.record_answer("i-2") is None
    assert not proof.is_believed(announce(5), 0.5)
    assert proof.is_believed(announce(1, START_MS, "i-2"), 1.0)


def test_reports_in_the_rhythm_of_heartbeats_are_proof_after_the_longest_delay(proof):
    reports = [(1.5 * index, index) for index in range(8)]
    assert believed_at(proof, reports) == 6.0


@pytest.mark.parametrize(
    "reports",
    [
        [(0.01 * index, index) for index in range(50)],
        [(0.0, 1), (6.0, 2), (12.0, 3)],
        [(0.0, 1), (5.5, 2), (5.6, 3), (5.7, 4)],
        [(1.5 * index, 9 - index) for index in range(9)],
        [(1.5 * index, 4) for index in range(9)],
    ],
    ids=["burst", "few", "late burst", "falling", "repeated"],
)
def test_other_reports_are_no_proof(proof, reports):
    assert believed_at(proof, reports) is None


@attrs.define
class Process:
    """One process of the node, without network."""

    started_at: float
    age_ms: int
    known: departures.Departures = attrs.field(factory=departures.Departures)
    proof: report_proof.ReportProof = attrs.field()
    applied: announcements.Announcement | None = None
    probe_ends_at: float | None = None
    is_probed: bool = False

    @proof.default
    def _create_proof(self):
        started_ms = START_MS + self.age_ms + int(self.started_at * 1000)
        return report_proof.ReportProof(started_ms, HEARTBEAT_S)

    def receive(self, message, now):
        if isinstance(message, departures.Deregistration):
            received = self.known.deregister(message, now, START_MS + self.age_ms + int(now * 1000))
        else:
            received = message if self.known.accept(message, now) else None
        if received is None:
            return
        if self.proof.is_believed(received, now):
            self._apply(received)
        elif not self.is_probed:
            self.is_probed, self.probe_ends_at = True, now + PROBE_S

    def end_probe(self, answer):
        self.probe_ends_at = None
        believed = self.proof.record_answer(answer)
        if believed is not None:
            self._apply(believed)

    def _apply(self, received):
        # As `LocalUpstream.apply_announcement` decides it.
        if received.replaces(self.applied):
            self.applied = received

    @property
    def is_ready(self):
        return self.applied is not None and self.applied.state is record.State.READY


@attrs.define
class History:
    """Reports, a leave and kills between any two of their arrivals."""

    rng: random.Random
    answers_checks: bool
    leaves: bool
    max_late_s: float = LATE_S
    messages: list = attrs.field(factory=list)
    left_at: float = float("inf")
    process: Process | None = None

    def run(self):
        """Returns time, start of the process, and whether the upstream is ready, at each step."""
        end_s, leaves_at = 30.0, self.rng.uniform(3.0, 12.0)
        held_until = leaves_at + self.rng.uniform(0.0, 12.0)  # Of some reports, by a partition.
        sequence, sent_at = 0, 0.0
        while sent_at < (leaves_at if self.leaves else end_s):
            late_s = self.rng.uniform(0.0, self.max_late_s) if self.rng.random() < 0.3 else 0.0
            is_held = self.leaves and sent_at > leaves_at - 4.5 and self.rng.random() < 0.5
            arrives_at = max(held_until, sent_at) if is_held else sent_at + late_s
            self.messages.append((arrives_at, announce(sequence)))
            sequence, sent_at = sequence + 1, sent_at + HEARTBEAT_S
        if self.leaves:
            said = departures.Deregistration("i-1", self.rng.choice([None, START_MS]))
            self.messages.append((leaves_at, said))
        self.messages.sort(key=lambda item: item[0])
        return self._deliver(leaves_at)

    def _deliver(self, leaves_at):
        age_ms = self.rng.choice(AGES_MS)
        self.process, down_until, states = Process(0.5, age_ms), 0.5, []
        for now, message in self.messages:
            ends_at = self.process.probe_ends_at
            if ends_at is not None and ends_at <= now:
                is_alive = not self.leaves or ends_at < leaves_at
                self.process.end_probe("i-1" if is_alive and self.answers_checks else "")
            if now >= down_until:
                self.process.receive(message, now)
                if isinstance(message, departures.Deregistration):
                    self.left_at = now
            states.append((now, self.process.started_at, self.process.is_ready))
            kills = 0.25 if self.leaves else 0.25 * (now < 15.0)
            if now >= down_until and self.rng.random() < kills:
                down_until = now + self.rng.uniform(0.3, 2.0)
                self.process = Process(down_until, age_ms)
        return states


# A process that followed one which had confirmed a leave believed a report from before it.
@pytest.mark.parametrize("answers_checks", [True, False])
def test_no_kill_between_any_two_steps_undoes_a_confirmed_leave(answers_checks):
    confirmed = 0
    for seed in range(SEEDS):
        history = History(random.Random(seed), answers_checks, leaves=True)
        states = history.run()
        confirmed += history.left_at < float("inf")
        assert not any(ready for now, _, ready in states if now >= history.left_at), seed
    assert confirmed > SEEDS // 2


@pytest.mark.parametrize("answers_checks", [True, False])
def test_an_upstream_that_lives_is_served_after_kills(answers_checks):
    # Without health checks the rhythm of the reports is the proof, so they aren't that late.
    max_late_s = LATE_S if answers_checks else HEARTBEAT_S
    limit_s = LATE_S + HEARTBEAT_S if answers_checks else PROOF_LIMIT_S + 2 * HEARTBEAT_S
    for seed in range(SEEDS):
        history = History(random.Random(seed), answers_checks, leaves=False, max_late_s=max_late_s)
        states = history.run()
        for now, started_at, ready in states:
            assert ready or now < started_at + limit_s, (seed, now, started_at)
