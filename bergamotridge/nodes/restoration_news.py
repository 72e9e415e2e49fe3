"""Restorations of the platform's store in messages between nodes."""

from bergamotridge.nodes import gossip_pb2
from bergamotridge.store import restorations

MILLIS_PER_S = 1000


def write(message: gossip_pb2.GossipMessage, known: restorations.Restorations, now: float) -> None:
    """Adds the epoch and the latest restoration that this node knows of.

    Args:
        message: Message to add them to.
        known: What this node knows.
        now: Boot time in seconds.
    """
    if known.is_known:
        message.restoration.known_epoch = known.epoch + 1
    latest = known.latest
    if latest is not None:
        message.restoration.epoch = latest.epoch
        message.restoration.age_ms = max(0, int((now - latest.noticed_at) * MILLIS_PER_S))


def read(message: gossip_pb2.GossipMessage, known: restorations.Restorations, now: float) -> None:
    """Records the epoch and the restoration that a peer told of; `now` is boot time in seconds."""
    if message.restoration.epoch:
        age_s = message.restoration.age_ms / MILLIS_PER_S
        known.learn(message.restoration.epoch, age_s, now)
    if message.restoration.known_epoch:
        known.hear_epoch(message.restoration.known_epoch - 1, now)
