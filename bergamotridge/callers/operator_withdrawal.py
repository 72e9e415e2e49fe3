"""Withdrawals of keys that operators ask a node for."""

from collections.abc import Callable

import attrs

from bergamotridge import errors, events
from bergamotridge.nodes import confirmation


@attrs.frozen
class OperatorWithdrawal:
    """Withdraws keys for operators, if this node has keys that can be withdrawn.

    Attributes:
        log: The node's event log.
        keys_in_text: True if the operator's text holds the keys.
        confirm: Withdraws a key and returns who knows of it.
    """

    log: events.EventLog
    keys_in_text: bool
    confirm: Callable[[str], confirmation.Knowledge]

    def withdraw(self, key_id: str) -> confirmation.Knowledge:
        """Withdraws a key and returns who knows of it.

        Raises:
            NotFoundError: The keys are part of the operator's text.
        """
        if self.keys_in_text:
            raise errors.NotFoundError(
                f"key '{key_id}' can't be withdrawn at a node: keys are part of the operator's "
                f"text here; put a text without the key into force"
            )
        self.log.emit("key.withdrawn", cause="operator", key_id=key_id)
        return self.confirm(key_id)
