"""Notices of the upstreams on other hosts, as their nodes' answers bring them."""

import attrs

from bergamotridge.upstreams import notice


@attrs.frozen
class _KnownNotice:
    """A notice and the monotonic time in seconds at which the latest answer brought it."""

    given: notice.UpstreamNotice
    heard_at: float


class KnownNotices:
    """Keeps the notice of each upstream that this node calls, by host; not thread-safe.

    A node that is started anew has lost what its upstream said, and gets it back from the nodes
    that call it.
    """

    def __init__(self) -> None:
        """Starts without notices."""
        self._by_host: dict[str, _KnownNotice] = {}

    def notice_of(self, host: str) -> notice.UpstreamNotice | None:
        """Returns what the upstream on a host says about itself, None if it says nothing."""
        known = self._by_host.get(host)
        return known.given if known is not None else None

    def record(
        self, host: str, received: notice.UpstreamNotice | None, sent_at: float, now: float
    ) -> None:
        """Takes in the notice that came with the answer to a call which the upstream ran.

        Answers overtake each other, so the answer to a call that was sent before the known notice
        was heard withdraws nothing, and neither does one about an earlier start of the upstream.

        Args:
            host: Host that answered.
            received: The notice, None if its node knows of none.
            sent_at: Monotonic time in seconds at which the call was sent.
            now: Monotonic time in seconds.
        """
        known = self._by_host.get(host)
        if known is not None and sent_at < known.heard_at and not _is_later(received, known.given):
            return
        if received is None:
            self._by_host.pop(host, None)
        else:
            self._by_host[host] = _KnownNotice(received, now)


def _is_later(received: notice.UpstreamNotice | None, known: notice.UpstreamNotice) -> bool:
    """Returns whether a notice adds to the known one, though its answer may be older."""
    if received is None:
        return False
    if received.upstream.incarnation != known.upstream.incarnation:
        return received.upstream.incarnation > known.upstream.incarnation
    return received.notice.leaving or not known.notice.leaving
