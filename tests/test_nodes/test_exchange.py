"""Messages between two nodes: each piece of news crosses a link once, whatever is lost."""

import attrs

from bergamotridge.callers import keys
from bergamotridge.nodes import exchange, membership, record
from tests.test_nodes import fleet


class _Side:
    def __init__(self, host: str, port: int, session: int):
        self.members = membership.Membership(fleet.own_record(host, port), membership.Timings())
        self.ring = keys.KeyRing(fleet.SECRET)
        self.exchange = exchange.Exchange(self.members, (self.ring,), self.ring, session)
        self.session = session

    def learn(self, count: int, version: int = 1):
        records = [fleet.own_record(f"h{n}", n + 10) for n in range(count)]
        records = [attrs.evolve(item, version=version) for item in records]
        news = [membership.News(item, version, suspected=False) for item in records]
        self.members.merge(news, "", 0.0)

    def hosts(self):
        return {item.host for item in self.members.members()}


def _sizes(first, second, session=None, lose_answer=False):
    """Makes one exchange and returns the numbers of records in both messages."""
    request = first.exchange.build(second.session if session is None else session, 0)
    received = second.exchange.receive(request, 0.0)
    answer = second.exchange.build(received.session, 0)
    if not lose_answer:
        first.exchange.receive(answer, 0.0)
    return len(request.records), len(answer.records)


def test_news_crosses_once_and_again_only_if_it_was_lost():
    first, second = _Side("a", 1, 11), _Side("b", 2, 22)
    first.learn(5)
    assert _sizes(first, second, session=0) == (0, 1)
    assert _sizes(first, second) == (6, 0)
    assert first.hosts() == second.hosts()
    assert _sizes(first, second) == (0, 0)
    second.members.announce("booking", record.State.READY, 5, 0.0, 0.0)
    assert _sizes(first, second, lose_answer=True) == (0, 1)
    assert _sizes(first, second) == (0, 1)
    assert _sizes(first, second) == (0, 0)


def test_nodes_that_agree_send_nothing_at_first_contact():
    first, second, third = _Side("a", 1, 11), _Side("b", 2, 22), _Side("c", 3, 33)
    for one, other in ((first, third), (second, third), (first, third)):
        for _ in range(3):
            _sizes(one, other, session=0)
            _sizes(one, other)
    assert len(first.hosts() & second.hosts()) == 3
    assert _sizes(first, second, session=0) == (0, 0)
    assert _sizes(first, second) == (0, 0)


def test_a_restarted_peer_gets_everything():
    first, second = _Side("a", 1, 11), _Side("b", 2, 22)
    first.learn(5)
    for _ in range(3):
        _sizes(first, second)
    successor = _Side("b", 2, 23)
    _sizes(first, successor, session=22)
    _sizes(first, successor)
    assert successor.hosts() == first.hosts()


def test_large_news_comes_in_pages():
    first, second = _Side("a", 1, 11), _Side("b", 2, 22)
    first.learn(2 * exchange.MESSAGE_NEWS)
    first.ring.withdraw_all(f"k{n}" for n in range(2 * exchange.MESSAGE_WITHDRAWALS + 1))
    for _ in range(6):
        request = first.exchange.build(second.session, 0)
        assert len(request.records) <= exchange.MESSAGE_NEWS
        second.exchange.receive(request, 0.0)
        first.exchange.receive(second.exchange.build(first.session, 0), 0.0)
    assert second.hosts() == first.hosts()
    assert second.ring.pending == first.ring.pending


def test_a_state_of_a_later_release_gets_no_work():
    first, second = _Side("a", 1, 11), _Side("b", 2, 22)
    first.members.announce("booking", record.State.READY, 5, 0.0, 0.0)
    _sizes(first, second, session=0)
    message = first.exchange.build(22, 0)
    message.records[0].state = "resting"
    second.exchange.receive(message, 0.0)
    assert "a" in second.hosts()
    assert second.members.candidates("booking") == ()
