"""Clock for ages that other hosts rely on."""

import time


def boot_time() -> float:
    """Returns the seconds since the machine was started.

    Unlike the monotonic clock it goes on while the machine is suspended. An age that did not count
    that time would make what a node knows look too new to the nodes that it tells.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
