"""A node that stood still does not take its own pause for silence of others."""

import random
import time

from bergamotridge.callers import keys
from bergamotridge.nodes import (
    control,
    exchange,
    gossip,
    membership,
    peers,
    record,
    tick_pauses,
    traffic,
)
from tests.test_nodes import fleet

PAUSE_S = 60.0


class PausedTime:
    """Stands in for the module `time`: the first sleep is a pause, in whose end messages come."""

    def __init__(self, on_second_sleep, on_third_sleep):
        self.now = 0.0
        self._actions = [lambda: PAUSE_S, on_second_sleep, on_third_sleep]

    def monotonic(self):
        return self.now

    def time_ns(self):
        return time.time_ns()

    def sleep(self, duration_s):
        self.now += self._actions.pop(0)() or duration_s


# A heartbeat that lay unread after a pause of the process counted as missed, its upstream as lost.
def test_what_was_said_in_a_pause_is_read_before_timeouts_apply(monkeypatch):
    members = membership.Membership(fleet.own_record("own", 1), membership.MembershipTimings())
    ring, rng = keys.KeyRing(fleet.SECRET), random.Random(1)
    node_gossip = gossip.Gossip(
        members,
        peers.PeerChooser(members, (), rng),
        exchange.Exchange(members, (ring,), ring, 1),
        (ring,),
        control.ChannelPool(fleet.SECRET),
        fleet.TIMINGS,
        rng,
        traffic.ignore_bytes,
    )
    states = []
    members.add_listener(lambda found, _: states.append(found.state))

    def read_heartbeat():
        members.announce("booking", record.State.READY, 50, 0.0, paused.now)

    def stop():
        node_gossip._stopping = True

    members.announce("booking", record.State.READY, 50, 0.0, 0.0)
    paused = PausedTime(read_heartbeat, stop)
    monkeypatch.setattr(gossip, "time", paused)
    node_gossip._run_ticks()
    assert members.own.state is record.State.READY
    assert record.State.LOST not in states
    assert members.own.version == 2, "the upstream was not published as lost in between"


# A process whose ticks are all late would never apply a timeout.
def test_only_the_first_of_late_ticks_is_left_out():
    pauses = tick_pauses.TickPauses(0.25, 0.0)
    assert [pauses.is_due(at) for at in (0.25, 0.5, 3.5, 6.5, 9.5, 9.75)] == [
        True, True, False, True, False, True
    ]  # fmt: skip
