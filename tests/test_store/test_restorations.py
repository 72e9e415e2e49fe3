"""What a node knows of restorations of the store."""

from bergamotridge.store import restorations


def test_the_first_epoch_seen_is_no_restoration_and_a_higher_one_is():
    known, noticed = restorations.Restorations(), []
    known.add_listener(noticed.append)
    assert known.observe(4, 10.0)
    assert known.latest is None
    assert known.observe(5, 11.0)
    assert noticed == [known.latest] == [restorations.Restoration(5, 11.0)]


def test_an_answer_of_an_earlier_epoch_is_out_of_date():
    known = restorations.Restorations()
    known.observe(5, 10.0)
    assert not known.observe(4, 11.0)
    assert (known.epoch, known.latest) == (5, None)


# A process that started right after a restoration took the copy for the whole.
def test_a_process_that_started_since_finds_out_by_the_epoch_of_a_peer():
    for own, peer in ((5, 4), (4, 5)):
        known = restorations.Restorations()
        known.observe(own, 100.0)
        assert not known.is_informed(101.0)
        known.hear_epoch(peer, 102.0)
        assert known.is_informed(102.0)
        assert known.latest == restorations.Restoration(5, 102.0, restorations.FROM_PEER)


def test_a_process_that_starts_while_the_store_is_away_has_its_epoch_from_a_peer():
    known = restorations.Restorations()
    known.hear_epoch(4, 100.0)
    assert (known.epoch, known.latest) == (4, None)
    known.observe(5, 103.0)
    assert known.latest.epoch == 5


def test_a_process_without_peers_is_informed_after_a_while():
    known = restorations.Restorations()
    assert not known.is_informed(1000.0)
    known.observe(4, 1000.0)
    assert not known.is_informed(1000.0 + restorations.ALONE_AFTER_S / 2)
    assert known.is_informed(1000.0 + restorations.ALONE_AFTER_S)


def test_a_node_that_started_later_learns_of_a_restoration_once():
    known, noticed = restorations.Restorations(), []
    known.add_listener(noticed.append)
    known.observe(5, 100.0)
    known.learn(5, 20.0, 101.0)
    known.learn(5, 30.0, 102.0)
    known.learn(4, 1.0, 103.0)
    assert noticed == [restorations.Restoration(5, 81.0, restorations.FROM_PEER)]
