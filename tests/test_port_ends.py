"""The HTTP ports of a node end side by side in a stop."""

import asyncio

import pytest

from bergamotridge import port_ends
from tests import virtual_time

GRACE_S = 2.0


class Port:
    """Notes when its end begins, and takes some seconds of its time."""

    def __init__(self, takes_s):
        self._takes_s = takes_s
        self.began_at = self.left_s = None

    async def end(self, grace_s):
        self.began_at, self.left_s = asyncio.get_running_loop().time(), grace_s
        await asyncio.sleep(self._takes_s)


# Each port waited for the one before it, so that a process with little time was killed meanwhile.
@pytest.mark.parametrize(
    ("callers_s", "begin_s"), [(0.5, 0.5), (GRACE_S, GRACE_S - port_ends.OTHERS_END_S)]
)
def test_other_ports_end_together_after_that_of_callers_or_shortly_before_its_time_is_over(
    callers_s, begin_s
):
    callers, others = Port(callers_s), [Port(0.3), Port(0.3)]

    async def end(event_loop):
        await port_ends.end_all(callers, others, GRACE_S)
        return event_loop.time()

    ended_at = virtual_time.run(end)
    assert [other.began_at for other in others] == pytest.approx([begin_s] * 2)
    assert [other.left_s for other in others] == pytest.approx([GRACE_S - begin_s] * 2)
    assert ended_at == pytest.approx(begin_s + 0.3)
