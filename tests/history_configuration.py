"""Checker of concurrent histories: is there one order of the operations that explains them all?

The search of Wing and Gong (1993) with the memory of states that Lowe (2017) adds. An operation
whose answer was lost may have taken effect at any time after it began, or never.
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
        ended: Time of its answer, infinity if the answer was lost.
        name: What was done, such as ``"apply"``.
        base: State that the client started from, if the operation names one.
        value: State that it writes or has read.
        succeeded: False if it was refused; an answer that was lost leaves this True.
    """

    began: float
    ended: float
    name: str
    value: State
    base: State = None
    succeeded: bool = True

    @property
    def answered(self) -> bool:
        """False if the answer was lost."""
        return self.ended < math.inf


def configuration_step(state: State, operation: Operation) -> list[State]:
    """Returns the states that an operation can lead to, none if its answer was impossible."""
    if operation.name == "read":
        return [state] if state == operation.value else []
    if not operation.answered:
        return [operation.value, state] if state == operation.base else [state]
    if operation.succeeded:
        return [operation.value] if state == operation.base else []
    return [state] if state != operation.base else []


def key_step(state: State, operation: Operation) -> list[State]:
    """The same for one key: absent (None), then valid, then withdrawn for good."""
    if operation.name == "read":
        return [state] if state == operation.value else []
    if operation.name == "grant":
        done = ["valid"] if state is None else []
    else:
        done = ["withdrawn"] if state is not None else []
    return done if operation.answered else [*done, state]


def linearizable(
    history: Sequence[Operation],
    step: Callable[[State, Operation], list[State]],
    initial: State = None,
) -> bool:
    """Returns True if one order of the operations explains all answers."""
    pending = [(frozenset(range(len(history))), initial)]
    seen = set(pending)
    while pending:
        left, state = pending.pop()
        if not any(history[number].answered for number in left):
            return True
        first_end = min(history[number].ended for number in left)
        for number in left:
            if history[number].began > first_end:
                continue
            for following in step(state, history[number]):
                node = (left - {number}, following)
                if node not in seen:
                    seen.add(node)
                    pending.append(node)
    return False
