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


def test_a_node_that_started_later_learns_of_a_restoration_once():
    known, noticed = restorations.Restorations(), []
    known.add_listener(noticed.append)
    known.observe(5, 100.0)
    known.learn(5, 20.0, 101.0)
    known.learn(5, 30.0, 102.0)
    known.learn(4, 1.0, 103.0)
    assert noticed == [restorations.Restoration(5, 81.0, restorations.FROM_PEER)]
