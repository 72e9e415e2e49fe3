"""Limits how many suspects run at one upstream at the same time; single-threaded.

If the upstream crashes, all that ran are suspected more. The fewer suspects run together, the fewer
innocent ones come near to being held back. One under which several upstreams have crashed runs with
no other suspect beside it.
"""

SUSPECTS_AT_ONCE = 16


class SuspectLanes:
    """The suspects that run at the local upstream or ask whether they may."""

    def __init__(self) -> None:
        self._crashes_by_fingerprint: dict[int, int] = {}

    def try_enter(self, fingerprint: int, crashes: int) -> bool:
        """Returns True if a suspect may run or ask now; it must `leave` then.

        Args:
            fingerprint: Fingerprint of the request.
            crashes: Number of upstreams that have crashed under requests like it.
        """
        inside = self._crashes_by_fingerprint
        if fingerprint in inside:
            return False
        has_strong = any(item > 1 for item in inside.values())
        if has_strong or len(inside) >= (1 if crashes > 1 else SUSPECTS_AT_ONCE):
            return False
        inside[fingerprint] = crashes
        return True

    def leave(self, fingerprint: int) -> None:
        """Makes room for another suspect."""
        del self._crashes_by_fingerprint[fingerprint]
