"""Admission queue of an upstream: by class, then fair between teams, then by call depth."""

import enum
import math
from collections.abc import Callable

import attrs

from bergamotridge import call, errors
from bergamotridge.upstreams import call_kinds

ROOT_CALLS_FRACTION = 0.5  # Of the queue's capacity, for root calls (depth 0).
MAX_START_TAGS = 1024  # With more, those without effect are removed.


class EntryState(enum.Enum):
    """State of a call at the gate."""

    WAITING = "waiting"
    STARTED = "started"
    REFUSED = "refused"
    FINISHED = "finished"


@attrs.define(eq=False)
class Entry:
    """One call at the gate, waiting or not.

    Attributes:
        context: Context of the call.
        arrived_at: Monotonic time in seconds at which the call reached the gate.
        notify: Callback, run once when the waiting call is started or refused.
        state: State of the call at the gate.
        started_at: Monotonic time in seconds at which the call was started, 0 before.
        refusal: Error that the caller gets if the call was refused, else None.
    """

    context: call.CallContext
    arrived_at: float
    notify: Callable[["Entry"], None]
    state: EntryState = EntryState.WAITING
    started_at: float = 0.0
    refusal: errors.CallError | None = None


class FairClock:
    """Virtual clock of start-time fair queueing (SFQ).

    The flows are the teams of one class, or the kinds of calls. The flow with the lowest start tag
    goes next. Each started call moves the flow's start tag on by 1 / weight, so that flows start
    calls in proportion to their weights.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._start_tags: dict[str, float] = {}

    def start_tag(self, flow: str) -> float:
        """Returns the start tag of the flow's next call, in virtual time."""
        return max(self._virtual_time, self._start_tags.get(flow, 0.0))

    def charge(self, flow: str, weight: float) -> None:
        """Advances the virtual time and the flow's start tag by a call that was started."""
        self._virtual_time = self.start_tag(flow)
        self._start_tags[flow] = self._virtual_time + 1.0 / weight
        # A tag that is not ahead of the virtual time has the same effect as a missing one,
        # so such tags are removed to bound the memory.
        if len(self._start_tags) > MAX_START_TAGS:
            self._start_tags = {
                name: start_tag
                for name, start_tag in self._start_tags.items()
                if start_tag > self._virtual_time
            }


class _Lane:
    """Waiting calls of one kind, by class and team; see `AdmissionQueue` for their order."""

    def __init__(self) -> None:
        self._entries: dict[call.Importance, dict[str, list[Entry]]] = {
            importance: {} for importance in call.Importance
        }
        self._fair_clocks = {importance: FairClock() for importance in call.Importance}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def count_by_class(self) -> dict[call.Importance, int]:
        """Returns the number of waiting calls of each class."""
        return {
            importance: sum(len(entries) for entries in teams.values())
            for importance, teams in self._entries.items()
        }

    def count_at_or_above(self, importance: call.Importance) -> int:
        """Returns the number of waiting calls of this class and of more important ones."""
        return sum(count for level, count in self.count_by_class().items() if level <= importance)

    def teams_of(self, importance: call.Importance) -> dict[str, list[Entry]]:
        """Returns the waiting calls of a class by team."""
        return self._entries[importance]

    def charge(self, context: call.CallContext) -> None:
        """Charges a started call to the fair share of its team."""
        self._fair_clocks[context.importance].charge(context.team, context.weight)

    def push(self, entry: Entry) -> None:
        """Adds a call."""
        teams = self._entries[entry.context.importance]
        teams.setdefault(entry.context.team, []).append(entry)
        self._length += 1

    def find_next(self) -> Entry | None:
        """Returns the call to start next, None if no call waits."""
        for importance, teams in self._entries.items():
            if not teams:
                continue
            clock = self._fair_clocks[importance]
            team = min(teams, key=clock.start_tag)
            return max(teams[team], key=lambda item: (item.context.depth, -item.arrived_at))
        return None

    def remove(self, entry: Entry) -> None:
        """Removes a waiting call."""
        teams = self._entries[entry.context.importance]
        teams[entry.context.team].remove(entry)
        if not teams[entry.context.team]:
            del teams[entry.context.team]
        self._length -= 1

    def entries(self) -> list[Entry]:
        """Returns all waiting calls."""
        return [
            entry
            for teams in self._entries.values()
            for entries in teams.values()
            for entry in entries
        ]


class AdmissionQueue:
    """Bounded priority queue of the calls that wait at one upstream.

    The next call to start belongs to the most important class that has waiting calls, and in it to
    the team that is furthest behind its fair share. Of that team's calls the one with the highest
    depth starts first, then the oldest. When the queue is full, a call of the least important class
    is evicted: from the team with the most waiting calls relative to its weight, the one with the
    lowest depth, then the newest. Root calls (depth 0) may take up only ROOT_CALLS_FRACTION of the
    queue, as the requests of deeper calls have already cost work.

    With `separate_kinds`, all of this holds within each kind of calls. The kind that is furthest
    behind its fair share of the upstream's time goes first (start-time fair queueing by
    `call_kinds.WEIGHTS`), and the kind with the most waiting calls relative to its weight is the
    one from which a call is evicted. So neither a backlog of one kind nor its class delays the
    other.

    Args:
        capacity: Number of calls that may wait.
        separate_kinds: True to divide the upstream between the kinds of calls.
    """

    def __init__(self, capacity: int, *, separate_kinds: bool = False) -> None:
        self._capacity = capacity
        self._separate_kinds = separate_kinds
        kinds = call_kinds.Kind if separate_kinds else (call_kinds.Kind.DIRECT,)
        self._lanes = {kind: _Lane() for kind in kinds}
        self._direct = self._lanes[call_kinds.Kind.DIRECT]
        self._kind_clock = FairClock()
        self._length = 0
        self._root_calls = 0

    def __len__(self) -> int:
        """Returns the number of calls that wait."""
        return self._length

    @property
    def capacity(self) -> int:
        """Number of calls that may wait."""
        return self._capacity

    def count_by_class(self) -> dict[call.Importance, int]:
        """Returns the number of waiting calls by class, only of direct ones if kinds are apart."""
        return self._direct.count_by_class()

    def count_unattributed(self) -> int:
        """Returns the number of waiting unattributed calls, 0 if kinds are not apart."""
        lane = self._lanes.get(call_kinds.Kind.UNATTRIBUTED)
        return len(lane) if lane is not None else 0

    def count_ahead(self, context: call.CallContext) -> int:
        """Returns how many waiting calls may start before a call that would be added now."""
        kind = self._kind_of(context)
        ahead = self._lanes[kind].count_at_or_above(context.importance)
        # Meanwhile, calls of the other kind start in proportion to the weights.
        return ahead + sum(
            min(
                len(lane),
                math.ceil((ahead + 1) * call_kinds.WEIGHTS[other] / call_kinds.WEIGHTS[kind]),
            )
            for other, lane in self._lanes.items()
            if other is not kind
        )

    def charge(self, context: call.CallContext, relative_cost: float = 1.0) -> None:
        """Charges a started call to the fair shares of its team and its kind.

        Args:
            context: Context of the call.
            relative_cost: Usual time of a call of this kind, as a multiple of that of all calls.
        """
        if not self._separate_kinds:
            self._direct.charge(context)
            return
        kind = call_kinds.kind_of(context)
        self._lanes[kind].charge(context)
        self._kind_clock.charge(kind.name, call_kinds.WEIGHTS[kind] / relative_cost)

    def push(self, entry: Entry) -> Entry | None:
        """Adds a call; returns the call evicted to make room (maybe `entry` itself), or None."""
        lane = self._lanes[self._kind_of(entry.context)]
        lane.push(entry)
        self._length += 1
        self._root_calls += not entry.context.depth
        evicted = None
        if self._length > self._capacity:
            evicted = self._choose_eviction(lane=self._most_crowded_lane(), root_only=False)
        elif not entry.context.depth and self._root_calls > self._capacity * ROOT_CALLS_FRACTION:
            evicted = self._choose_eviction(lane=lane, root_only=True)
        if evicted is not None:
            self.remove(evicted)
        return evicted

    def pop(self) -> Entry | None:
        """Removes and returns the call to start next, or returns None if the queue is empty."""
        waiting = [kind for kind, lane in self._lanes.items() if len(lane)]
        if not waiting:
            return None
        kind = min(waiting, key=lambda item: self._kind_clock.start_tag(item.name))
        entry = self._lanes[kind].find_next()
        self.remove(entry)
        return entry

    def remove(self, entry: Entry) -> None:
        """Removes a waiting call from the queue."""
        self._lanes[self._kind_of(entry.context)].remove(entry)
        self._length -= 1
        self._root_calls -= not entry.context.depth

    def entries(self) -> list[Entry]:
        """Returns all waiting calls."""
        return [entry for lane in self._lanes.values() for entry in lane.entries()]

    def _kind_of(self, context: call.CallContext) -> call_kinds.Kind:
        if not self._separate_kinds:
            return call_kinds.Kind.DIRECT
        return call_kinds.kind_of(context)

    def _most_crowded_lane(self) -> _Lane:
        kind = max(self._lanes, key=lambda item: len(self._lanes[item]) / call_kinds.WEIGHTS[item])
        return self._lanes[kind]

    def _choose_eviction(self, *, lane: _Lane, root_only: bool) -> Entry:
        """Returns the call of a lane to evict, chosen among the root calls only if `root_only`."""
        for importance in reversed(call.Importance):
            candidates = [
                [entry for entry in entries if not (root_only and entry.context.depth)]
                for entries in lane.teams_of(importance).values()
            ]
            candidates = [entries for entries in candidates if entries]
            if candidates:
                longest = max(candidates, key=lambda items: len(items) / items[0].context.weight)
                return min(longest, key=lambda item: (item.context.depth, -item.arrived_at))
        raise LookupError("no call can be evicted: the queue is empty")
