"""Linearizability checker: searches for one order of concurrent operations that explains them all.

Uses the search of Wing and Gong (1993) with the cache of visited states that Lowe (2017) adds. An
operation whose response was lost may have taken effect at any time after it began, or never.
"""

import math
from collections.abc import Callable, Sequence

import attrs

State = str | None


@attrs.frozen
class Operation:
    """One operation of one client.

    Attributes:
        began: Time at which it began.
        ended: Time of its response, infinity if the response was lost.
        name: Kind of operation, such as ``"apply"``.
        base: State that must be current for the operation to succeed, if it has such a condition.
        value: State that it writes or that it read.
        succeeded: False if it was refused; True if the response was lost.
    """

    began: float
    ended: float
    name: str
    value: State
    base: State = None
    succeeded: bool = True

    @property
    def answered(self) -> bool:
        """False if the response was lost."""
        return self.ended < math.inf


def configuration_step(state: State, operation: Operation) -> list[State]:
    """Returns the possible states after an operation on the configuration.

    The list is empty if the operation cannot have got its response in `state`.
    """
    if operation.name == "read":
        return [state] if state == operation.value else []
    if not operation.answered:
        return [operation.value, state] if state == operation.base else [state]
    if operation.succeeded:
        return [operation.value] if state == operation.base else []
    return [state] if state != operation.base else []


def key_step(state: State, operation: Operation) -> list[State]:
    """Returns the possible states of one key after an operation, like `configuration_step`.

    A key is absent (None), then valid, then withdrawn for good.
    """
    if operation.name == "read":
        return [state] if state == operation.value else []
    if operation.name == "grant":
        next_states = ["valid"] if state is None else []
    else:
        next_states = ["withdrawn"] if state is not None else []
    return next_states if operation.answered else [*next_states, state]


def is_linearizable(
    history: Sequence[Operation],
    step: Callable[[State, Operation], list[State]],
    initial: State = None,
) -> bool:
    """Returns True if one order of the operations explains all responses."""
    pending = [(frozenset(range(len(history))), initial)]
    visited = set(pending)
    while pending:
        remaining, state = pending.pop()
        if not any(history[index].answered for index in remaining):
            return True
        earliest_end = min(history[index].ended for index in remaining)
        for index in remaining:
            if history[index].began > earliest_end:
                continue
            for next_state in step(state, history[index]):
                node = (remaining - {index}, next_state)
                if node not in visited:
                    visited.add(node)
                    pending.append(node)
    return False
