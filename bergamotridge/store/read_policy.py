"""Decides when a node reads the platform itself, and what a response says about its replica."""

import attrs


@attrs.frozen
class ReadDuty:
    """How much a node relies on others to read the platform.

    Attributes:
        age_fraction: Age of the replica at which the node reads the platform itself, as a fraction
            of the longest allowed age; 0.0 if the node watches for the others.
        retry_cap_s: Highest upper bound of the delay after repeated failures in seconds, for a node
            that does not watch.
    """

    age_fraction: float
    retry_cap_s: float = 1.0

    @property
    def watches(self) -> bool:
        """True if the node sends one watch after another."""
        return not self.age_fraction


ALWAYS_WATCH = ReadDuty(0.0)


def read_due_at(duty: ReadDuty, as_of: float, started_at: float, max_age_s: float) -> float:
    """Returns the boot time in seconds at which a node has to read the platform.

    A node that has just started gives its peers the time to bring it up to date.

    Args:
        duty: How much the node relies on others.
        as_of: Boot time as of which the replica is known to be current.
        started_at: Boot time at which the node started.
        max_age_s: Longest allowed age of the replica in seconds.
    """
    if duty.watches:
        return float("-inf")
    return max(as_of, started_at) + duty.age_fraction * max_age_s


def as_of_response(sent_at: float, wait_s: float, has_events: bool, now: float) -> float:
    """Returns the time as of which a replica is current once a response has been applied.

    A watch that brought no event cannot have been answered before its wait had ended. Any other
    response may have been on its way for as long as the request took.

    Args:
        sent_at: Boot time in seconds at which the request was sent.
        wait_s: Time for which the platform was to wait for events in seconds.
        has_events: Whether the response has events.
        now: Boot time in seconds at which the response arrived.
    """
    has_waited = not has_events and now - sent_at >= wait_s
    return sent_at + wait_s if has_waited else sent_at
