"""Versions of replicas in messages between nodes.

A message of an earlier release has neither an epoch nor an order; its version counts as one of the
first epoch.
"""

from typing import Protocol

from bergamotridge.store import position, replica


class Message(Protocol):
    """Fields that messages with the version of a replica have in common."""

    version: int
    epoch: int
    order_epoch: int
    order: int


def write(message: Message, version: replica.ReplicaVersion) -> None:
    """Sets the fields of a message."""
    message.version = version.seen.revision
    message.epoch = version.seen.epoch
    message.order_epoch = version.text_order.epoch
    message.order = version.text_order.revision


def read(message: Message) -> replica.ReplicaVersion:
    """Returns the version that a message holds."""
    return replica.ReplicaVersion(
        position.Position(message.order_epoch, message.order),
        position.Position(message.epoch, message.version),
    )
