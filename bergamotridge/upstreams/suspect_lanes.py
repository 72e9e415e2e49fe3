"""Limits how many suspects run at one upstream at the same time; single-threaded.

If the upstream crashes, all that ran are suspected more. The fewer suspects run together, the fewer
innocent ones come near to being held back.
"""

SUSPECTS_AT_ONCE = 16  # Those under which one upstream has crashed.
STRONG_SUSPECTS_AT_ONCE = 1  # Those under which several have crashed.


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
        if crashes > 1:
            has_room = sum(item > 1 for item in inside.values()) < STRONG_SUSPECTS_AT_ONCE
        else:
            has_room = sum(item <= 1 for item in inside.values()) < SUSPECTS_AT_ONCE
        if has_room:
            inside[fingerprint] = crashes
        return has_room

    def leave(self, fingerprint: int) -> None:
        """Makes room for another suspect."""
        del self._crashes_by_fingerprint[fingerprint]
