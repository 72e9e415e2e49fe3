"""Notices: what an upstream says about itself in its answers, a rate limit or that it leaves."""

import math

import attrs

from bergamotridge import errors
from bergamotridge.util import excerpt, fields

MAX_RATE_LIMIT = 1e12  # Calls per second.
# A rate limit that moves by less than this fraction is not reported as a change.
REPORTED_CHANGE_FRACTION = 0.1


@attrs.frozen
class Notice:
    """What one incarnation of an upstream says about itself.

    Attributes:
        rate_limit: Calls per second that it takes from all nodes together, None if it names none.
        leaving: True if it is about to stop.
    """

    rate_limit: float | None = None
    leaving: bool = False

    def differs_from(self, earlier: "Notice") -> bool:
        """Returns whether the change since `earlier` is worth a report."""
        if self.leaving != earlier.leaving or self.rate_limit is None or earlier.rate_limit is None:
            return self != earlier
        change = abs(self.rate_limit - earlier.rate_limit)
        return change > REPORTED_CHANGE_FRACTION * max(self.rate_limit, earlier.rate_limit)


NO_NOTICE = Notice()


@attrs.frozen
class UpstreamId:
    """One start of an upstream process.

    Attributes:
        instance: Id of this start, "" if the upstream has none.
        incarnation: Number of this start; a restart gives a higher number.
    """

    instance: str
    incarnation: int


@attrs.frozen
class UpstreamNotice:
    """A notice and the incarnation of the upstream that it is about, as nodes exchange it."""

    upstream: UpstreamId
    notice: Notice

    def to_list(self) -> list[str | int | float | bool | None]:
        """Returns the JSON values that nodes send."""
        return [
            self.upstream.instance,
            self.upstream.incarnation,
            self.notice.rate_limit,
            self.notice.leaving,
        ]

    @classmethod
    def from_list(cls, values: list) -> "UpstreamNotice":
        """Returns the notice from a list that `to_list` returned.

        Raises:
            ValueError: A value or the number of values is not valid.
            TypeError: The values are no list.
        """
        instance, incarnation, rate_limit, leaving = values
        fields.text("instance", instance, min_length=0)
        fields.whole_number("incarnation", incarnation, 0, fields.MAX_INTEGER)
        if rate_limit is not None:
            fields.number("rate_limit", rate_limit, 0.0, MAX_RATE_LIMIT)
        if not isinstance(leaving, bool):
            raise errors.MalformedEntryError(f"leaving is {excerpt.quote(leaving)}; send a bool")
        return cls(UpstreamId(instance, incarnation), Notice(rate_limit, leaving))


def parse_rate_limit(value: bytes | None) -> float | None:
    """Returns the rate limit in a header field, in calls per second; None without the field.

    Raises:
        ValueError: The value is not a number from 0 to `MAX_RATE_LIMIT`.
    """
    if value is None:
        return None
    rate_limit = float(value)
    if not 0 <= rate_limit <= MAX_RATE_LIMIT:
        raise ValueError(
            f"rate limit {excerpt.quote(value)} is out of range; accepted: numbers from 0"
        )
    return rate_limit


def read(rate_limit: bytes | None, leaving: bool) -> Notice:
    """Returns the notice in an answer; `NO_NOTICE` itself if the upstream says nothing.

    Args:
        rate_limit: Value of the header field that names a rate limit, None without one.
        leaving: True if the answer says that the upstream leaves.

    Raises:
        ValueError: The rate limit is not valid.
    """
    if rate_limit is None and not leaving:
        return NO_NOTICE
    return Notice(parse_rate_limit(rate_limit), leaving)


class NoticeTracker:
    """Keeps the latest notice of the local upstream; not thread-safe.

    A notice is valid for the incarnation of the upstream that gave it. A rate limit is valid until
    the upstream answers a later call without it; leaving is final. A node that was started anew
    adopts what other nodes know of its upstream, until the first answer.
    """

    def __init__(self) -> None:
        self._upstream: UpstreamId | None = None
        self._current = NO_NOTICE
        self._rate_limit_named_at = -math.inf
        self._has_answered = False

    @property
    def current(self) -> Notice:
        """What is known of the upstream's current incarnation."""
        return self._current

    @property
    def to_pass_on(self) -> UpstreamNotice | None:
        """What other nodes should know of the upstream, None if it has given no notice."""
        if self._upstream is None or self._current == NO_NOTICE:
            return None
        return UpstreamNotice(self._upstream, self._current)

    def begin(self, upstream: UpstreamId) -> None:
        """Discards the notice if it was given by another incarnation than `upstream`."""
        if upstream != self._upstream:
            self._upstream = upstream
            self._current = NO_NOTICE
            self._rate_limit_named_at = -math.inf
            self._has_answered = False

    def adopt(self, passed_on: UpstreamNotice) -> Notice:
        """Takes in what another node knows of the upstream; returns what is known after it.

        Of the rate limits that several nodes know, the lowest is kept.
        """
        if passed_on.upstream != self._upstream:
            return self._current
        received, limits = passed_on.notice, [self._current.rate_limit]
        if not self._has_answered:
            limits.append(received.rate_limit)
        rate_limit = min((limit for limit in limits if limit is not None), default=None)
        self._replace(Notice(rate_limit, received.leaving or self._current.leaving))
        return self._current

    def record(self, upstream: UpstreamId, received: Notice, sent_at: float, now: float) -> Notice:
        """Takes in the notice of one answer and returns what is known after it.

        Args:
            upstream: Incarnation to which the call was sent; another than the current is ignored.
            received: Notice that came with the answer.
            sent_at: Monotonic time in seconds at which the call was sent.
            now: Monotonic time in seconds.
        """
        if upstream != self._upstream:
            return self._current
        self._has_answered = True
        if received is NO_NOTICE and self._current is NO_NOTICE:
            return NO_NOTICE
        rate_limit = received.rate_limit
        if rate_limit is not None:
            self._rate_limit_named_at = now
        elif sent_at < self._rate_limit_named_at:
            # Answers overtake each other: this one may be older than the one with the limit.
            rate_limit = self._current.rate_limit
        self._replace(Notice(rate_limit, received.leaving or self._current.leaving))
        return self._current

    def _replace(self, latest: Notice) -> None:
        """Stores a notice; an unchanged one stays the same object."""
        if latest != self._current:
            self._current = NO_NOTICE if latest == NO_NOTICE else latest
