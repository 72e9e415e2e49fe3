"""Messages between two nodes: each update is sent once, and again only after a loss."""

import attrs

from bergamotridge.callers import keys
from bergamotridge.nodes import change_log, exchange, membership, record
from tests.test_nodes import fleet


class _Node:
    def __init__(self, host: str, port: int, session: int):
        self.members = membership.Membership(
            fleet.own_record(host, port), membership.MembershipTimings()
        )
        self.ring = keys.KeyRing(fleet.SECRET)
        self.exchange = exchange.Exchange(self.members, (self.ring,), self.ring, session)
        self.session = session

    def add_hosts(self, count: int, version: int = 1):
        records = [fleet.own_record(f"h{n}", n + 10) for n in range(count)]
        records = [attrs.evolve(item, version=version) for item in records]
        updates = [change_log.RecordUpdate(item, version, suspected=False) for item in records]
        self.members.merge(updates, change_log.LOCAL_SESSION, 0.0)

    def hosts(self):
        return {item.host for item in self.members.members()}


def _exchange_messages(first, second, session=None, lose_answer=False):
    """Exchanges a request and an answer; returns the number of records in each."""
    request = first.exchange.build_message(second.session if session is None else session, 0)
    received = second.exchange.process_message(request, 0.0)
    answer = second.exchange.build_message(received.session, 0)
    if not lose_answer:
        first.exchange.process_message(answer, 0.0)
    return len(request.records), len(answer.records)


def test_an_update_is_sent_once_and_again_only_if_its_message_was_lost():
    first, second = _Node("a", 1, 11), _Node("b", 2, 22)
    first.add_hosts(5)
    assert _exchange_messages(first, second, session=0) == (0, 1)
    assert _exchange_messages(first, second) == (6, 0)
    assert first.hosts() == second.hosts()
    assert _exchange_messages(first, second) == (0, 0)
    second.members.announce("booking", record.State.READY, 5, 0.0, 0.0)
    assert _exchange_messages(first, second, lose_answer=True) == (0, 1)
    assert _exchange_messages(first, second) == (0, 1)
    assert _exchange_messages(first, second) == (0, 0)


def test_nodes_with_equal_checksums_send_no_records_at_first_contact():
    first, second, third = _Node("a", 1, 11), _Node("b", 2, 22), _Node("c", 3, 33)
    for initiator, responder in ((first, third), (second, third), (first, third)):
        for _ in range(3):
            _exchange_messages(initiator, responder, session=0)
            _exchange_messages(initiator, responder)
    assert len(first.hosts() & second.hosts()) == 3
    assert _exchange_messages(first, second, session=0) == (0, 0)
    assert _exchange_messages(first, second) == (0, 0)


def test_a_restarted_peer_gets_all_records():
    first, second = _Node("a", 1, 11), _Node("b", 2, 22)
    first.add_hosts(5)
    for _ in range(3):
        _exchange_messages(first, second)
    successor = _Node("b", 2, 23)
    _exchange_messages(first, successor, session=22)
    _exchange_messages(first, successor)
    assert successor.hosts() == first.hosts()


def test_large_updates_are_sent_in_pages():
    first, second = _Node("a", 1, 11), _Node("b", 2, 22)
    first.add_hosts(2 * exchange.MAX_UPDATES_PER_MESSAGE)
    first.ring.withdraw_all(f"k{n}" for n in range(2 * exchange.MAX_WITHDRAWALS_PER_MESSAGE + 1))
    for _ in range(6):
        request = first.exchange.build_message(second.session, 0)
        assert len(request.records) <= exchange.MAX_UPDATES_PER_MESSAGE
        second.exchange.process_message(request, 0.0)
        first.exchange.process_message(second.exchange.build_message(first.session, 0), 0.0)
    assert second.hosts() == first.hosts()
    assert second.ring.pending == first.ring.pending


def test_an_upstream_in_an_unknown_state_gets_no_calls():
    first, second = _Node("a", 1, 11), _Node("b", 2, 22)
    first.members.announce("booking", record.State.READY, 5, 0.0, 0.0)
    _exchange_messages(first, second, session=0)
    message = first.exchange.build_message(22, 0)
    message.records[0].state = "resting"
    second.exchange.process_message(message, 0.0)
    assert "a" in second.hosts()
    assert second.members.candidates("booking") == ()
