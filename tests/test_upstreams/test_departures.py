"""Announcements and deregistrations in any order: who has left stays out, who lives comes back."""

import random

import attrs
import pytest

from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import departures

START_MS = 1_790_000_000_000
HEARTBEAT_S = 1.5
LATE_S = departures.LATE_ANNOUNCEMENT_S
MAX_RESTART_PAUSE_S = 3.0
SEEDS = 300


def announce(incarnation, sequence, instance="i-1"):
    return announcements.Announcement(
        service="slots",
        address="127.0.0.1:1",
        state=record.State.READY,
        incarnation=incarnation,
        slots=5,
        connections=5,
        load=0.0,
        instance=instance,
        sequence=sequence,
    )


@attrs.define
class Process:
    """The departures of one node process, and the state in which it has the upstream."""

    known: departures.Departures = attrs.field(factory=departures.Departures)
    applied: announcements.Announcement | None = None

    def receive(self, message, now):
        if isinstance(message, departures.Deregistration):
            applied = self.known.deregister(message, now, START_MS + int(now * 1000))
        else:
            applied = message if self.known.accept(message, now) else None
        # As `LocalUpstream.apply_announcement` decides it.
        if applied is not None and applied.replaces(self.applied):
            self.applied = applied

    @property
    def ready_start(self):
        """Number of the start that gets calls, None if none does."""
        is_ready = self.applied is not None and self.applied.state is record.State.READY
        return self.applied.incarnation if is_ready else None


@attrs.define
class History:
    """What two starts of an upstream under one id say, when each word arrives, and what follows."""

    rng: random.Random
    names_start: bool
    arrivals: list = attrs.field(factory=list)
    node_restarts_at: float = 0.0
    left_at: float = 0.0
    alive_from: float = 0.0

    def draw(self):
        first, second = START_MS, 0
        self.left_at = self.rng.uniform(3.0, 8.0)
        for sequence in range(int(self.left_at / HEARTBEAT_S) + 1):
            self._add(announce(first, sequence), sequence * HEARTBEAT_S, late=True)
        start = first if self.names_start else None
        leave = departures.Deregistration("i-1", start)
        self.arrivals.append((self.left_at, leave))
        if self.rng.random() < 0.5:
            self._add(leave, self.left_at, late=self.names_start)
        self.alive_from = self.left_at + self.rng.uniform(0.1, MAX_RESTART_PAUSE_S)
        second = START_MS + int(self.alive_from * 1000)
        for sequence in range(20):
            self._add(
                announce(second, sequence), self.alive_from + sequence * HEARTBEAT_S, late=False
            )
        self.node_restarts_at = self.rng.uniform(0.0, self.left_at)
        self.arrivals.sort(key=lambda item: item[0])
        return second

    def _add(self, message, sent_at, late):
        delay = self.rng.uniform(0.0, LATE_S) if late and self.rng.random() < 0.3 else 0.0
        self.arrivals.append((sent_at + delay, message))


# Late words of the first start undid its leave, or took the second start out for good.
@pytest.mark.parametrize("names_start", [True, False])
def test_no_confirmed_leave_is_undone_and_a_live_upstream_comes_back(names_start):
    for seed in range(SEEDS):
        history = History(random.Random(seed), names_start)
        second = history.draw()
        process, is_restarted = Process(), False
        for now, message in history.arrivals:
            if not is_restarted and now >= history.node_restarts_at:
                process, is_restarted = Process(), True
            process.receive(message, now)
            if now >= history.left_at:
                assert process.ready_start in (None, second), (seed, now)
            if now >= history.alive_from + 3 * HEARTBEAT_S:
                assert process.ready_start == second, (seed, now)


# Without the number of its start, an early word to leave may be of the start before.
def test_a_start_that_goes_on_after_an_unclear_deregistration_comes_back():
    process = Process()
    process.receive(announce(START_MS, 9), 0.0)
    process.receive(announce(START_MS + 500, 0), 0.5)
    process.receive(departures.Deregistration("i-1"), 0.6)
    assert process.ready_start is None
    seen = []
    for sequence in range(1, 10):
        now = 0.6 + sequence * HEARTBEAT_S
        process.receive(announce(START_MS + 500, sequence), now)
        seen.append((process.ready_start is not None, now))
    first_ready = next(now for ready, now in seen if ready)
    assert first_ready <= 0.6 + LATE_S + 4 * HEARTBEAT_S


# Reports that a partition held up came together, and undid a leave without the number of its start.
def test_announcements_that_come_together_do_not_undo_an_unclear_deregistration():
    process = Process()
    process.receive(departures.Deregistration("i-1"), 0.0)
    for sequence in range(50):
        process.receive(announce(START_MS - 1, sequence), LATE_S + 1.0 + 0.001 * sequence)
    assert process.ready_start is None


def test_only_the_latest_departures_are_kept():
    process = Process()
    for index in range(3 * departures.MAX_DEPARTURES):
        process.receive(departures.Deregistration(f"i-{index}", START_MS), float(index))
    assert len(process.known._departures) == departures.MAX_DEPARTURES
    process.receive(announce(START_MS, 1, f"i-{3 * departures.MAX_DEPARTURES - 1}"), 1e6)
    assert process.ready_start is None
