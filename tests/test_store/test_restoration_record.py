"""The record of restorations: what is read and written, by whom, and what it proves."""

import random

import hypothesis
import orjson
import pytest

from bergamotridge import errors
from bergamotridge.store import (
    position,
    restoration_record,
    restoration_recorder,
    restorations,
)
from standins import store
from tests import fake_objects, odd_values

RESERVATION_S = 606.0
KIND, NAME = restoration_record.KIND, restoration_record.NAME


class Process:
    """What one process knows, and its connection to the store."""

    def __init__(self, shared, now=0.0):
        self.now = now
        self.known = restorations.Restorations()
        self.client = fake_objects.FakeObjects(
            shared, lambda epoch: self.known.observe(epoch, self.now)
        )
        self.record = restoration_record.RestorationRecord(
            self.client, self.known, RESERVATION_S, lambda: self.now
        )

    @property
    def requests(self):
        return self.client.reads, self.client.writes

    def may_claim(self):
        try:
            self.record.confirm()
        except errors.PlatformError:
            return False
        return not self.record.is_recent(self.now)

    def recorder(self, elected=False):
        return restoration_recorder.RestorationRecorder(
            self.record, RESERVATION_S, lambda: elected, random.Random(1)
        )


def stored_record(shared):
    item = shared.get(KIND, NAME)
    return (item.value["epoch"], item.value["reserved"]) if item else None


def restored_store(epoch=1):
    shared = store.Store()
    for _ in range(epoch):
        shared.restore(0)
    return shared


def test_a_store_that_was_never_restored_costs_one_read_a_process_and_no_write():
    process = Process(store.Store())
    assert process.requests == (0, 0)
    for process.now in (0.0, 1.0, 10_000.0):
        assert process.may_claim()
    assert process.requests == (1, 0)


def test_a_process_without_a_restoration_has_nothing_to_write():
    process = Process(store.Store())
    process.client.list("any")
    assert process.recorder(elected=True).write_due(0.0) is None
    assert process.requests == (1, 0)


def test_a_restoration_costs_the_first_process_two_reads_and_two_writes():
    shared = store.Store()
    process = Process(shared)
    process.client.list("any")
    shared.restore(0)
    process.client.list("any")
    recorder, reads = process.recorder(), process.client.reads
    delay_s = recorder.write_due(process.now)
    assert stored_record(shared) == (1, True)
    process.now += delay_s
    assert delay_s > RESERVATION_S
    assert recorder.write_due(process.now) is None
    assert stored_record(shared) == (1, False)
    assert (process.client.reads - reads, process.client.writes) == (2, 2)


def test_a_node_that_a_peer_told_writes_only_if_it_is_elected():
    for elected in (False, True):
        shared = restored_store()
        process = Process(shared)
        process.known.learn(1, 1.0, process.now)
        process.recorder(elected).write_due(process.now)
        assert stored_record(shared) == ((1, True) if elected else None)


def test_a_node_that_is_elected_after_the_writer_ended_writes_the_end():
    shared = restored_store()
    Process(shared).may_claim()
    process = Process(shared, now=1000.0)
    process.known.learn(1, RESERVATION_S + 1.0, process.now)
    assert process.recorder(elected=True).write_due(process.now) is None
    assert stored_record(shared) == (1, False)


def test_the_recorder_tries_again_until_the_store_answers():
    shared = store.Store()
    process = Process(shared)
    process.client.list("any")
    shared.restore(0)
    process.client.list("any")
    process.client.faults.outage = True
    recorder = process.recorder()
    assert 0.0 <= recorder.write_due(process.now) <= restoration_recorder.MAX_PAUSE_S
    process.client.faults.outage = False
    process.now += restoration_recorder.MAX_PAUSE_S
    recorder.write_due(process.now)
    assert stored_record(shared) == (1, True)


# All memories ended: what the copy holds is all that later processes have.
def test_a_copy_without_the_record_shows_the_restoration_by_its_epoch():
    shared = restored_store()
    process = Process(shared)
    assert not process.may_claim()
    assert stored_record(shared) == (1, True)


def test_a_copy_from_before_the_record_of_an_earlier_restoration_shows_a_later_one():
    shared = store.Store()
    shared.put("any", "x", 0, 1)
    shared.restore(1)
    assert not Process(shared).may_claim()
    shared.restore(1)
    assert stored_record(shared) is None
    assert not Process(shared).may_claim()
    assert stored_record(shared) == (2, True)


@pytest.mark.parametrize("is_over", [False, True])
def test_a_copy_with_the_record_of_an_earlier_restoration_shows_a_later_one(is_over):
    shared = restored_store()
    first = Process(shared)
    first.may_claim()
    if is_over:
        first.now = RESERVATION_S + 1.0
        assert first.may_claim()
    shared.restore(shared.version)
    assert stored_record(shared) == (1, not is_over)
    assert not Process(shared, now=5.0).may_claim()
    assert stored_record(shared) == (2, True)


def test_a_process_that_finds_a_reserved_record_counts_the_reservation_from_then_on():
    shared = restored_store()
    Process(shared, now=0.0).may_claim()
    # Its clock, and that of any host, may stand anywhere.
    for start in (-5000.0, 10_000.0):
        later = Process(shared, now=start)
        assert not later.may_claim()
        later.now += RESERVATION_S - 1.0
        assert not later.may_claim()
    later.now += 2.0
    assert later.may_claim()
    assert stored_record(shared) == (1, False)
    fresh = Process(shared, now=0.0)
    assert fresh.may_claim()
    assert fresh.requests == (1, 0)


def test_a_pause_between_start_and_answer_does_not_shorten_the_reservation():
    shared = restored_store()
    process = Process(shared)
    get = process.client.get

    def get_slowly(*arguments):
        process.now += RESERVATION_S
        return get(*arguments)

    process.client.get = get_slowly
    assert not process.may_claim()
    assert process.record.latest.noticed_at == RESERVATION_S


def test_a_lost_answer_of_the_write_refuses_and_is_found_by_the_next_read():
    shared = restored_store()
    process = Process(shared)
    process.client.faults.lose_answers = 1
    assert not process.may_claim()
    assert stored_record(shared) == (1, True)
    process.now += RESERVATION_S + 1.0
    process.client.faults.lose_answers = 1
    assert not process.may_claim()
    process.now += restoration_record.RETRY_PAUSE_S
    assert process.may_claim()
    assert process.client.writes == 2


def test_a_late_write_of_the_end_does_not_hide_a_later_restoration():
    shared = restored_store()
    process = Process(shared)
    process.may_claim()
    process.now += RESERVATION_S + 1.0
    process.client.faults.hold_writes = 1
    assert not process.may_claim()
    shared.restore(shared.version)
    process.client.release()
    assert stored_record(shared) == (1, False)
    assert not Process(shared, now=process.now).may_claim()


def test_a_silent_store_refuses_and_is_asked_once_a_pause():
    process = Process(store.Store())
    process.client.faults.outage = True
    for _ in range(20):
        assert not process.may_claim()
    assert process.requests == (1, 0)
    process.now += restoration_record.RETRY_PAUSE_S
    process.client.faults.outage = False
    assert process.may_claim()


def test_processes_that_write_at_the_same_time_agree():
    shared = restored_store()
    first, second = Process(shared), Process(shared)
    first.client.faults.before_write = second.may_claim
    assert not first.may_claim()
    assert stored_record(shared) == (1, True)
    assert first.requests == (2, 1)


# A store whose epochs begin above 0, or odd values, would keep quotas of new teams from use.
def test_what_only_the_record_shows_is_told_to_nobody_else():
    process, noticed = Process(restored_store()), []
    process.known.add_listener(noticed.append)
    assert not process.may_claim()
    assert (noticed, process.known.latest) == ([], None)


def test_a_process_in_doubt_looks_whether_another_has_written_the_end():
    shared = restored_store()
    first, later = Process(shared), Process(shared)
    first.may_claim()
    later.now = RESERVATION_S - 10.0
    assert not later.may_claim()
    recorder, delays = later.recorder(), []
    first.now = RESERVATION_S + 1.0
    for _ in range(3):
        delays.append(recorder.write_due(later.now))
        later.now += delays[-1] or 0.0
        first.may_claim()
    assert delays[0] <= restoration_recorder.RECHECK_S
    assert delays[1:] == [None, None]
    assert later.may_claim()


def test_the_recorder_hears_of_doubt():
    process, called = Process(restored_store()), []
    process.record.listen_for_doubt(lambda: called.append(True))
    assert not process.may_claim()
    assert called == [True]


ODD_RECORDS = (
    "x",
    [],
    {},
    {"epoch": 0},
    {"epoch": True, "reserved": False},
    {"epoch": "0", "reserved": False},
    {"epoch": -1, "reserved": False},
    {"epoch": 1 << 70, "reserved": False},
    {"epoch": 0, "reserved": 0},
    {"epoch": 7, "reserved": False},
)


@pytest.mark.parametrize("value", ODD_RECORDS)
def test_a_record_of_another_writer_refuses_for_the_reservation_and_is_replaced(value):
    shared = store.Store()
    shared.put(KIND, NAME, 0, value)
    process = Process(shared)
    assert not process.may_claim()
    assert stored_record(shared) == (0, True)
    process.now += RESERVATION_S + 1.0
    assert process.may_claim()
    assert stored_record(shared) == (0, False)


@odd_values.SETTINGS
@hypothesis.given(text=odd_values.changed({"epoch": 0, "reserved": False}))
def test_only_the_record_that_names_the_epoch_and_no_reservation_lets_a_process_claim(text):
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        hypothesis.reject()
    shared = store.Store()
    shared.put(KIND, NAME, 0, value)
    is_sound = type(value.get("epoch")) is int and value["epoch"] == 0
    assert Process(shared).may_claim() == (is_sound and value.get("reserved") is False)


def test_a_record_without_a_usable_version_refuses_until_it_can_be_read():
    class Unreadable(fake_objects.FakeObjects):
        def get(self, kind, name, *, eventual=False):
            raise errors.MalformedObjectError("no revision")

    known = restorations.Restorations()
    known.observe(0, 0.0)
    record = restoration_record.RestorationRecord(
        Unreadable(store.Store()), known, RESERVATION_S, lambda: 0.0
    )
    with pytest.raises(errors.PlatformError):
        record.confirm()


def test_an_answer_from_before_a_known_restoration_proves_nothing():
    shared = store.Store()
    process = Process(shared)
    process.known.hear_epoch(3, 0.0)
    assert not process.may_claim()
    assert shared.version == position.START.revision
