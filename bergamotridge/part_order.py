"""Opens and ends the parts of a node in the order of a list."""

import socket
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent import futures
from typing import Protocol

import logbook

from bergamotridge import errors, ports

_log = logbook.Logger(__name__)

# For the ends of a stop whose time is over when it comes to them, as its process stood still.
MIN_ENDS_S = 0.15

# Ends a part; the argument is the time left for running calls, in seconds.
End = Callable[[float], object]
# Called with the name of a part that has ended, the seconds that its end took, and the seconds then
# left for running calls, below 0 once their time is over.
OnEnded = Callable[[str, float, float], None]


class Port(Protocol):
    """A part that serves a port."""

    def start(self, bound: socket.socket) -> None:
        """Serves the port on a bound socket."""


class Task(Protocol):
    """A part that works by itself."""

    def start(self) -> None:
        """Begins the work."""


class StoppableTask(Task, Protocol):
    """A task that can be told to end."""

    def stop(self) -> None:
        """Tells the task to end."""


def without_limit(end: Callable[[], object]) -> End:
    """Returns the end of a part that doesn't wait for running calls."""
    return lambda _: end()


def open_ports(
    by_name: Mapping[str, Port], bound: ports.BoundPorts, ends: Mapping[str, End]
) -> None:
    """Opens all ports in their order, or none.

    Args:
        by_name: The parts with a port, by its name.
        bound: The bound sockets.
        ends: How each of the parts ends.

    Raises:
        AddressUnavailableError: A port can't be opened; those that were are closed again.
    """
    opened = []
    try:
        for name, port in by_name.items():
            port.start(bound.take(name))
            opened.append(name)
    except errors.AddressUnavailableError:
        for name in opened:
            ends[name](0.0)
        raise


def end_all(ends: Mapping[str, End], deadline: float, limit: float, on_ended: OnEnded) -> str:
    """Ends all parts, one after the other; one that hangs or fails doesn't keep the caller.

    Args:
        ends: How each part ends, by its name, in order.
        deadline: Monotonic time in seconds until which calls may run.
        limit: Monotonic time in seconds until which the ends are waited for.
        on_ended: Called for each part that has ended, in another thread.

    Returns:
        The part whose end was not waited for, "" if all have ended.
    """
    left = list(ends)
    executor = futures.ThreadPoolExecutor(1, "ends")
    ending = executor.submit(_end_in_order, ends, deadline, left, on_ended)
    executor.shutdown(wait=False)
    futures.wait([ending], max(MIN_ENDS_S, limit - time.monotonic()))
    if ending.done():
        ending.result()
    return next(iter(left), "")


def _end_in_order(
    ends: Mapping[str, End], deadline: float, left: list[str], on_ended: OnEnded
) -> None:
    """Ends all parts, and removes each from `left` once it has ended.

    Those behind a part whose end fails are ended too: else their threads would keep the process.
    """
    began_at = time.monotonic()
    for name, end in ends.items():
        try:
            end(max(0.0, deadline - began_at))
        except Exception:
            _log.exception("the end of the part '{}' failed", name)
        ended_at = time.monotonic()
        left.remove(name)
        on_ended(name, ended_at - began_at, deadline - ended_at)
        began_at = ended_at


def stop_tasks(tasks: Iterable[StoppableTask]) -> None:
    """Tells all tasks to end, one after the other.

    Args:
        tasks: The tasks, in order.
    """
    for task in tasks:
        task.stop()
