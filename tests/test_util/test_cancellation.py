"""Cancellation tokens: each callback runs once, and a removed callback never runs."""

from bergamotridge.util import cancellation


def test_each_callback_runs_once_and_a_removed_callback_never_runs():
    token, ran = cancellation.Token(), []
    registrations = [token.on_cancel(lambda name=name: ran.append(name)) for name in "abc"]
    token.remove(registrations[0])
    fourth_registration = token.on_cancel(lambda: ran.append("d"))
    token.remove(registrations[2])
    token.cancel()
    token.cancel()
    assert sorted(ran) == ["b", "d"]
    assert len({*registrations, fourth_registration}) == 3
    assert token.on_cancel(lambda: ran.append("late")) == -1
    assert ran[-1] == "late"


def test_a_child_is_cancelled_with_its_parent_until_it_is_closed():
    parent = cancellation.Token()
    open_child, closed_child = cancellation.Token(parent), cancellation.Token(parent)
    closed_child.close()
    parent.cancel()
    assert (open_child.cancelled, closed_child.cancelled) == (True, False)
