"""Learns which routes the requests of a route call below, from the deadlines of calls."""

import bisect
import enum
import math
from collections.abc import Mapping

import attrs

from bergamotridge.nodes import call_graph

# Evidence loses its weight with this time constant, so that a changed upstream is noticed.
DECAY_S = 60.0
AGING_INTERVAL_S = 1.0  # Least time between two updates of decaying counts.
NEGLIGIBLE_COUNT = 0.01  # A decaying count that is no greater is removed.
# A called route without a call for this long is forgotten, as in `call_graph`.
FORGET_S = call_graph.DEPENDENCY_TTL_S
# The deadline of a call is at most this much before or after that of its request. Both are passed
# on in whole milliseconds, and a node that gathers arrivals reads a call some milliseconds late.
EARLY_S = 0.002
LATE_S = 0.004
# Distances of further windows from the real one. Deadlines match there only by chance. As chance
# makes most of the matches at 150 requests a second, several windows are averaged.
CHANCE_SHIFTS_S = (-0.045, -0.030, -0.015, 0.015, 0.030, 0.045)
# A call with less time left isn't matched: some of these windows would lie before the present time.
MIN_LEFT_S = 0.050
# A call with more than this part of the longest time left may expire by its own budget instead of
# that of its request, so that it need not match its request.
EVIDENCE_FRACTION = 0.8
# The longest time left is that of the present period and the one before.
LONGEST_PERIOD_S = 60.0
# Requests of a route, and calls that certainly expire with their request, needed for a verdict.
MIN_REQUESTS = 30.0
MIN_EVIDENCE = 20.0
# A route that calls another one in fewer of its requests is taken not to call it.
CALLING_FRACTION = 0.1
# Calls are evidence against a route only if this share of them, beyond chance, matches requests.
MIN_EXPLAINED = 0.5
# Above this share of matches by chance, real matches can't be told from them.
MAX_CHANCE = 0.8
_MATCHED = 1  # Bit of a match; the bits above it are those of the windows of chance.
_CHANCE_BITS = tuple(2 << number for number in range(len(CHANCE_SHIFTS_S)))


class Verdict(enum.Enum):
    """Whether requests of a route call another route."""

    CALLS = "calls"
    CALLS_NOT = "calls-not"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class RunningRequest:
    """A request that the local upstream processes.

    Attributes:
        route: Name of its route.
        deadline: Monotonic time in seconds at which it expires.
        matches: Bits of the windows in which a call matched it, by called route.
    """

    route: str
    deadline: float
    matches: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class _Count:
    """Decaying counts of requests, by whether calls on one called route match them.

    Attributes:
        total: All requests.
        matched: Requests with a call whose deadline matches.
        chance: Requests with a call that matches in a window of chance, mean of all windows.
    """

    total: float = 0.0
    matched: float = 0.0
    chance: float = 0.0

    def add(self, matches: int) -> None:
        """Counts a request; `matches` has the bits of the windows in which a call matched it."""
        self.total += 1.0
        self.matched += matches & _MATCHED
        self.chance += (matches >> 1).bit_count() / len(CHANCE_SHIFTS_S)

    def decay(self, factor: float) -> None:
        self.total *= factor
        self.matched *= factor
        self.chance *= factor

    @property
    def chance_share(self) -> float:
        """Share of requests that match by chance."""
        return self.chance / self.total if self.total else 0.0

    def estimate(self) -> tuple[float, float]:
        """Returns the number of requests that made a call, and the standard deviation of that."""
        others = 1.0 - self.chance_share
        variance = self.matched + self.chance / len(CHANCE_SHIFTS_S)
        return (self.matched - self.chance) / others, math.sqrt(variance) / others

    @property
    def has_callers(self) -> bool:
        """True if more than a few requests certainly made a call."""
        callers, deviation = self.estimate()
        return callers - 2.0 * deviation > CALLING_FRACTION * self.total

    @property
    def has_few_callers(self) -> bool:
        """True if no more than a few requests made a call; a single match may be chance."""
        callers, deviation = self.estimate()
        return callers <= CALLING_FRACTION * self.total + max(1.0, deviation)


@attrs.define
class _Requests:
    """Counts of the requests of one route, with regard to one called route.

    Attributes:
        ended: All requests. A match shows that they call, a missing match shows nothing.
        exposed: Requests that ran so late that a call of theirs would have expired with them, so
            that a missing match shows that they made none.
    """

    ended: _Count = attrs.field(factory=_Count)
    exposed: _Count = attrs.field(factory=_Count)


@attrs.define
class _CalledRoute:
    """What is known of the upstream's calls on one route.

    Attributes:
        called_at: Monotonic time in seconds of the latest call.
        evidence: Decaying count of calls that certainly expired with their request.
        hits: Part of `evidence` whose deadline matches that of a running request.
        chance_hits: Part of `evidence` that matches in a window of chance, mean of all windows.
        longest_s: Longest time left in this period.
        earlier_longest_s: Longest time left in the period before.
        period_started_at: Start of this period.
        requests: Counts by route of the request.
    """

    called_at: float
    period_started_at: float
    evidence: float = 0.0
    hits: float = 0.0
    chance_hits: float = 0.0
    longest_s: float = 0.0
    earlier_longest_s: float = 0.0
    requests: dict[str, _Requests] = attrs.field(factory=dict)

    @property
    def evidence_below_s(self) -> float:
        """Time left below which a call expires with its request."""
        return EVIDENCE_FRACTION * max(self.longest_s, self.earlier_longest_s)

    def observe(self, left_s: float, now: float) -> None:
        """Records a call with `left_s` seconds left before its deadline."""
        if now - self.period_started_at >= LONGEST_PERIOD_S:
            self.earlier_longest_s, self.longest_s = self.longest_s, 0.0
            self.period_started_at = now
        self.longest_s = max(self.longest_s, left_s)
        self.called_at = now

    def decay(self, factor: float) -> None:
        self.evidence *= factor
        self.hits *= factor
        self.chance_hits *= factor
        for requests in self.requests.values():
            requests.ended.decay(factor)
            requests.exposed.decay(factor)

    @property
    def is_explained(self) -> bool:
        """True if most of the evidence belongs to requests that were running."""
        chance = self.chance_hits / self.evidence
        return (
            chance <= MAX_CHANCE
            and (self.hits / self.evidence - chance) / (1.0 - chance) >= MIN_EXPLAINED
        )

    def verdict(self, route: str) -> Verdict:
        """Returns whether requests of `route` make calls on this one."""
        requests = self.requests.get(route)
        if requests is None or requests.ended.total < MIN_REQUESTS:
            return Verdict.UNKNOWN
        counts = (requests.ended, requests.exposed)
        if any(count.chance_share > MAX_CHANCE for count in counts):
            return Verdict.UNKNOWN
        if any(count.has_callers for count in counts):
            return Verdict.CALLS
        is_ruled_out = all(count.has_few_callers for count in counts)
        if is_ruled_out and self.evidence >= MIN_EVIDENCE and self.is_explained:
            return Verdict.CALLS_NOT
        return Verdict.UNKNOWN


class CallAttribution:
    """Finds the routes whose requests cause the calls of the local upstream.

    Such a call carries nothing that identifies its request, but the two expire together if little
    time is left. So a request whose deadline equals that of a call is counted as the source of the
    call, less the matches that are expected by chance. Only calls that certainly expire with their
    request are evidence that a route doesn't call another one. For use on one event loop.
    """

    def __init__(self) -> None:
        self._service = ""
        # The running requests and their deadlines, both in the order of deadlines.
        self._deadlines: list[float] = []
        self._running: list[RunningRequest] = []
        self._called: dict[str, _CalledRoute] = {}
        # Decaying count of ended requests by route.
        self._ended: dict[str, float] = {}
        self._aged_at = 0.0

    @property
    def service(self) -> str:
        """Service of the local upstream, "" before its first request."""
        return self._service

    def begin_request(
        self, service: str, route: str, deadline: float, now: float
    ) -> RunningRequest:
        """Records that a request is sent to the upstream; pass the result to `end_request`.

        Args:
            service: Service of the upstream; what is known of another one is forgotten.
            route: Route of the request.
            deadline: Monotonic time in seconds at which the request expires.
            now: Monotonic time in seconds.
        """
        if service != self._service:
            self._service = service
            self._called.clear()
            self._ended.clear()
        self._age(now)
        request = RunningRequest(route, deadline)
        position = bisect.bisect_right(self._deadlines, deadline)
        self._deadlines.insert(position, deadline)
        self._running.insert(position, request)
        return request

    def end_request(self, request: RunningRequest, now: float) -> None:
        """Records that a request has ended."""
        position = bisect.bisect_left(self._deadlines, request.deadline)
        while self._running[position] is not request:
            position += 1
        del self._deadlines[position], self._running[position]
        self._ended[request.route] = self._ended.get(request.route, 0.0) + 1.0
        left_s = request.deadline - now
        for name, called in self._called.items():
            counts = called.requests.get(request.route)
            if counts is None:
                counts = called.requests[request.route] = _Requests()
            matches = request.matches.get(name, 0)
            counts.ended.add(matches)
            if left_s < called.evidence_below_s:
                counts.exposed.add(matches)

    def record_call(self, route: str, deadline: float, now: float) -> None:
        """Records a call of the upstream.

        Args:
            route: Route of the call.
            deadline: Monotonic time in seconds at which the call expires.
            now: Monotonic time in seconds.
        """
        called = self._called.get(route)
        if called is None:
            called = self._called[route] = _CalledRoute(now, now)
        left_s = deadline - now
        called.observe(left_s, now)
        if left_s < MIN_LEFT_S:
            return
        hits = self._mark_matches(route, deadline, _MATCHED)
        chance_hits = sum(
            self._mark_matches(route, deadline + shift_s, bit)
            for shift_s, bit in zip(CHANCE_SHIFTS_S, _CHANCE_BITS, strict=True)
        )
        if left_s < called.evidence_below_s:
            called.evidence += 1.0
            called.hits += hits
            called.chance_hits += chance_hits / len(CHANCE_SHIFTS_S)

    def _mark_matches(self, called: str, deadline: float, bit: int) -> bool:
        """Marks the requests whose deadlines match; returns whether there is one."""
        start = bisect.bisect_left(self._deadlines, deadline - LATE_S)
        end = bisect.bisect_right(self._deadlines, deadline + EARLY_S, start)
        for position in range(start, end):
            matches = self._running[position].matches
            matches[called] = matches.get(called, 0) | bit
        return end > start

    def called_routes(self, route: str, now: float) -> frozenset[str] | None:
        """Returns the routes that requests of `route` call, None if too few of them were seen.

        A route of which that is not known is included.
        """
        self._age(now)
        if self._ended.get(route, 0.0) < MIN_REQUESTS:
            return None
        return frozenset(
            name
            for name, called in self._called.items()
            if called.verdict(route) is not Verdict.CALLS_NOT
        )

    def verdicts(self, route: str) -> Mapping[str, Verdict]:
        """Returns the verdict on each route that the upstream calls, for requests of `route`."""
        return {name: called.verdict(route) for name, called in self._called.items()}

    def _age(self, now: float) -> None:
        elapsed_s = now - self._aged_at
        if elapsed_s < AGING_INTERVAL_S:
            return
        self._aged_at = now
        factor = math.exp(-elapsed_s / DECAY_S)
        self._called = {
            name: called
            for name, called in self._called.items()
            if now - called.called_at < FORGET_S
        }
        for called in self._called.values():
            called.decay(factor)
        self._ended = {
            name: count * factor for name, count in self._ended.items() if count > NEGLIGIBLE_COUNT
        }
