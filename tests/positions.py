"""Short forms of positions and of versions of replicas."""

from bergamotridge.store import position, replica


def at(revision: int, epoch: int = 0) -> position.Position:
    """Returns a position."""
    return position.Position(epoch, revision)


def version(revision: int, epoch: int = 0) -> replica.ReplicaVersion:
    """Returns the version of a replica whose texts, if any, have no order of their own."""
    return replica.ReplicaVersion(seen=at(revision, epoch))


def text_version(revision: int, epoch: int = 0) -> replica.ReplicaVersion:
    """Returns the version of a replica with a text that is as late as its position."""
    return replica.ReplicaVersion(at(revision, epoch), at(revision, epoch))
