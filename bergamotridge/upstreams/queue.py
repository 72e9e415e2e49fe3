"""Short queue beside an upstream: by class, then fair between teams, then by work invested."""

import enum
from collections.abc import Callable

import attrs

from bergamotridge import call, errors

FRESH_SHARE = 0.5


class EntryState(enum.Enum):
    """Where a call is on its way through the gate."""

    WAITING = "waiting"
    STARTED = "started"
    REFUSED = "refused"
    FINISHED = "finished"


@attrs.define(eq=False)
class Entry:
    """One call at the gate.

    Attributes:
        context: The call.
        arrived_at: Monotonic time in seconds.
        notify: Called once when a waiting call is started or refused.
        state: Where the call is.
        started_at: Monotonic time in seconds, 0 before the start.
        refusal: Why the call was refused, or None.
    """

    context: call.CallContext
    arrived_at: float
    notify: Callable[["Entry"], None]
    state: EntryState = EntryState.WAITING
    started_at: float = 0.0
    refusal: errors.CallError | None = None


class FairClock:
    """Start-time fair queueing between the teams of one class."""

    def __init__(self) -> None:
        self._now = 0.0
        self._tags: dict[str, float] = {}

    def tag(self, team: str) -> float:
        """Returns the virtual time at which the team's next call is due."""
        return max(self._now, self._tags.get(team, 0.0))

    def charge(self, team: str, weight: float) -> None:
        """Counts a started call of the team."""
        self._now = self.tag(team)
        self._tags[team] = self._now + 1.0 / weight
        if len(self._tags) > 1024:
            self._tags = {name: tag for name, tag in self._tags.items() if tag > self._now}


class AdmissionQueue:
    """Waiting calls, bounded in number.

    The next call to start is of the most important class, of the team that is furthest behind its
    share, and the deepest, then the oldest of these. When there is no room, the call that would
    start last leaves. Calls that enter the fleet here leave room for calls of requests that have
    been worked on.
    """

    def __init__(self, room: int) -> None:
        self._room = room
        self._classes: dict[call.Importance, dict[str, list[Entry]]] = {
            importance: {} for importance in call.Importance
        }
        self._clocks = {importance: FairClock() for importance in call.Importance}
        self._length = 0
        self._fresh = 0

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return self._length

    @property
    def room(self) -> int:
        """Calls that may wait."""
        return self._room

    def waiting(self) -> dict[call.Importance, int]:
        """Returns the number of waiting calls by class."""
        return {
            importance: sum(len(entries) for entries in teams.values())
            for importance, teams in self._classes.items()
        }

    def ahead(self, importance: call.Importance) -> int:
        """Returns the number of waiting calls of this class and more important ones."""
        return sum(count for level, count in self.waiting().items() if level <= importance)

    def charge(self, context: call.CallContext) -> None:
        """Counts a call as started in the shares of the teams."""
        self._clocks[context.importance].charge(context.team, context.weight)

    def push(self, entry: Entry) -> Entry | None:
        """Adds a call; returns the call that has to leave for it, maybe itself, or None."""
        teams = self._classes[entry.context.importance]
        teams.setdefault(entry.context.team, []).append(entry)
        self._count(entry, 1)
        victim = None
        if self._length > self._room:
            victim = self._last(fresh_only=False)
        elif not entry.context.depth and self._fresh > self._room * FRESH_SHARE:
            victim = self._last(fresh_only=True)
        if victim is not None:
            self.remove(victim)
        return victim

    def pop(self) -> Entry | None:
        """Takes out the call that starts next, or returns None."""
        for importance, teams in self._classes.items():
            if not teams:
                continue
            clock = self._clocks[importance]
            team = min(teams, key=clock.tag)
            entry = max(teams[team], key=lambda item: (item.context.depth, -item.arrived_at))
            self.remove(entry)
            return entry
        return None

    def remove(self, entry: Entry) -> None:
        """Takes out a waiting call."""
        teams = self._classes[entry.context.importance]
        teams[entry.context.team].remove(entry)
        if not teams[entry.context.team]:
            del teams[entry.context.team]
        self._count(entry, -1)

    def entries(self) -> list[Entry]:
        """Returns all waiting calls."""
        return [
            entry
            for teams in self._classes.values()
            for entries in teams.values()
            for entry in entries
        ]

    def _count(self, entry: Entry, change: int) -> None:
        self._length += change
        if not entry.context.depth:
            self._fresh += change

    def _last(self, *, fresh_only: bool) -> Entry:
        for importance in reversed(call.Importance):
            candidates = [
                [entry for entry in entries if not (fresh_only and entry.context.depth)]
                for entries in self._classes[importance].values()
            ]
            candidates = [entries for entries in candidates if entries]
            if candidates:
                longest = max(candidates, key=lambda items: len(items) / items[0].context.weight)
                return min(longest, key=lambda item: (item.context.depth, -item.arrived_at))
        raise LookupError("the queue is empty")
