"""How a call to an upstream ended, as limits and choice of upstream need to know it."""

import enum


class Outcome(enum.Enum):
    """End of one call at an upstream."""

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
