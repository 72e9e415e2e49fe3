"""Upstreams whose leave a node has confirmed and may have forgotten, as it was started anew."""

import attrs

from bergamotridge.nodes import record

# A report that an upstream sent before it left arrives within this time of the start of a node.
FORGOTTEN_FOR_S = 30.0


@attrs.frozen
class Leave:
    """The start of an upstream that has said that it leaves.

    Attributes:
        instance: Id of the upstream, "" if it has none.
        incarnation: Number of its start.
    """

    instance: str
    incarnation: int


def published(item: record.UpstreamRecord) -> Leave | None:
    """Returns the latest leave in the record of a host, None if there is none."""
    if not item.left_instance and not item.left_incarnation:
        return None
    return Leave(item.left_instance, item.left_incarnation)


class ForgottenLeaves:
    """Leaves that processes published which other processes have followed; not thread-safe."""

    def __init__(self) -> None:
        """Starts without leaves."""
        self._by_host: dict[str, tuple[Leave, float]] = {}

    def record(
        self, earlier: record.UpstreamRecord, later: record.UpstreamRecord, now: float
    ) -> None:
        """Takes in that a record was replaced by a later one of the same host.

        Args:
            earlier: The record that was known.
            later: The record that replaces it.
            now: Monotonic time in seconds.
        """
        leave = published(earlier)
        if leave is None or later.incarnation == earlier.incarnation:
            return
        if published(later) is None:
            self._by_host[later.host] = (leave, now)

    def of(self, host: str, now: float) -> Leave | None:
        """Returns the leave that the node of a host may have forgotten, None if there is none."""
        leave, noticed_at = self._by_host.get(host, (None, now))
        if now - noticed_at < FORGOTTEN_FOR_S:
            return leave
        del self._by_host[host]
        return None
