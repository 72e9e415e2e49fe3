"""Decisions on the bound of connections that an upstream is seen to accept."""

from bergamotridge.upstreams import connection_bound


# An upstream that ended connections because of their requests got fewer calls than it had room for.
def test_connections_that_end_because_of_their_requests_bound_nothing_for_long():
    bound = connection_bound.ConnectionBound()
    bound.record_refusal(3, now=0.0)
    assert (bound.value, bound.next_trial) == (3, 4)
    bound.record_trial(4, is_whole=True, needed=8, now=0.2)
    bound.record_refusal(3, now=0.3)
    assert bound.next_trial is None
    bound.record_refusal(3, now=0.2 + connection_bound.DISPROOF_S)
    assert bound.value == 3


def test_a_bound_that_a_trial_has_shown_rises_by_what_is_accepted():
    bound = connection_bound.ConnectionBound()
    bound.record_refusal(2, now=0.0)
    bound.record_trial(2, is_whole=False, needed=8, now=0.2)
    assert (bound.value, bound.next_trial) == (2, 4)
    bound.record_trial(3, is_whole=False, needed=8, now=0.4)
    assert (bound.value, bound.next_trial) == (3, 6)
    bound.record_trial(8, is_whole=True, needed=8, now=0.6)
    assert bound.next_trial is None
