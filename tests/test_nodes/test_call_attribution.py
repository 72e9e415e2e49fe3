"""Call attribution: the routes that call another route are found by the deadlines of the calls.

Guards against refusing bookings for a dependency that only the lookups at the same upstream need,
and against knowledge that stays wrong after chance matches or a change of the upstream.
"""

import heapq
import itertools
import random

import pytest

from bergamotridge.nodes import call_attribution

CALLS, CALLS_NOT, UNKNOWN = call_attribution.Verdict
OWN_BUDGET_S = 0.7


class Load:
    """Bookings and lookups at one upstream; each lookup makes four calls, one after the other."""

    def __init__(self, seed, budget_s=OWN_BUDGET_S, lookup_left_s=2.0, late=0.1):
        self.caller_routes = {"lookup"}
        self.budget_s, self.lookup_left_s, self.late = budget_s, lookup_left_s, late
        self.attribution = call_attribution.CallAttribution()
        self.now = 0.0
        self._rng = random.Random(seed)
        self._steps, self._order = [], itertools.count()
        self._schedule(0.0, self._arrive, "lookup", 150.0, lookup_left_s)
        self._schedule(0.0, self._arrive, "booking", 17.0, 2.505)

    def _schedule(self, delay_s, step, *arguments):
        heapq.heappush(self._steps, (self.now + delay_s, next(self._order), step, arguments))

    def _arrive(self, route, rate, left_s):
        self._schedule(self._rng.expovariate(rate), self._arrive, route, rate, left_s)
        is_late = self._rng.random() < self.late
        deadline = self.now + (self._rng.uniform(0.25, 0.8) if is_late else left_s)
        request = self.attribution.begin_request("bookings", route, deadline, self.now)
        calls = 4 if route in self.caller_routes else 0
        self._schedule(0.015 if calls else 0.161, self._continue, request, calls)

    def _continue(self, request, calls):
        if not calls or self.now > request.deadline:
            self.attribution.end_request(request, self.now)
            return
        rounded = request.deadline - self._rng.uniform(0.0, 0.002)
        deadline = min(self.now + self.budget_s, rounded)
        self.attribution.record_call("marks", deadline, self.now)
        self._schedule(self._rng.uniform(0.04, 0.12), self._continue, request, calls - 1)

    def run(self, seconds):
        end = self.now + seconds
        while self._steps[0][0] < end:
            self.now, _, step, arguments = heapq.heappop(self._steps)
            step(*arguments)

    def verdict(self, route):
        return self.attribution.verdicts(route).get("marks", UNKNOWN)


@pytest.mark.parametrize("seed", range(3))
def test_lookups_are_found_to_make_the_calls_and_bookings_are_not(seed):
    load = Load(seed)
    assert load.attribution.called_routes("booking", load.now) is None
    load.run(10.0)
    assert (load.verdict("booking"), load.verdict("lookup")) == (CALLS_NOT, CALLS)
    assert load.attribution.called_routes("booking", load.now) == frozenset()
    assert load.attribution.called_routes("lookup", load.now) == {"marks"}


# With calls that all expire with their request, those of the route with the longest time were
# no evidence, so that the route was taken not to make them.
def test_a_route_with_more_time_than_others_is_found_to_call():
    load = Load(1, budget_s=10.0, late=0.0)
    load.caller_routes = {"lookup", "booking"}
    load.run(10.0)
    assert (load.verdict("booking"), load.verdict("lookup")) == (CALLS, CALLS)


# Bookings whose deadlines lie among those of the lookups match half of the calls by chance.
@pytest.mark.parametrize("seed", range(3))
def test_chance_matches_do_not_make_a_route_a_caller(seed):
    load = Load(seed, budget_s=10.0, lookup_left_s=2.4, late=0.5)
    load.run(30.0)
    requests = load.attribution._called["marks"].requests["booking"]
    assert requests.ended.matched > 20
    assert load.verdict("booking") is CALLS_NOT


@pytest.mark.parametrize("seed", range(3))
def test_a_route_that_begins_or_ceases_to_call_is_noticed(seed):
    load = Load(seed)
    load.run(30.0)
    load.caller_routes.add("booking")
    load.run(60.0)
    assert load.verdict("booking") is CALLS
    load.caller_routes.remove("booking")
    load.run(300.0)
    assert load.verdict("booking") is CALLS_NOT


# Calls with a short budget of their own looked like evidence next to those with a longer one.
def test_calls_that_match_no_request_are_no_evidence_against_a_route():
    load = Load(1)
    load.run(10.0)
    for number in range(3000):
        load.attribution.record_call("marks", load.now + 0.1 + number / 10_000, load.now)
    assert load.verdict("booking") is UNKNOWN
    assert load.attribution.called_routes("booking", load.now) == {"marks"}


def test_another_service_at_the_upstream_and_a_route_without_calls_are_forgotten():
    load = Load(1)
    load.run(10.0)
    load.attribution.begin_request("bookings", "booking", 1e3, load.now + 61.0)
    assert load.attribution.verdicts("booking") == {}
    load.run(10.0)
    load.attribution.begin_request("progress", "booking", 1e3, load.now)
    assert load.attribution.called_routes("booking", load.now) is None
