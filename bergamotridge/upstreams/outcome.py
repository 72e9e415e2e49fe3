"""Outcome of a call to an upstream, as the concurrency limit and the choice of upstream use it."""

import enum


class Outcome(enum.Enum):
    """How one call to an upstream ended."""

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
