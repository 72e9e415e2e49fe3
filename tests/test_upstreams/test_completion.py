"""Requests that need several calls of a service that rejects half of its calls.

Nearly all of them failed after most of their work was done, and their callers could not tell
whether they had run. The load is that of nodes beside upstreams of deployments with 72 and 91
hosts: 18 views or 10 hand-ins a second, each of which needs eight calls of a service that rejects
0.55 of its calls for 8 s; 10 lookups, which need four; and reports, which need none.
"""

import random

import attrs
import pytest

from bergamotridge import answer, call, errors, verdict
from bergamotridge.callers import shedding
from bergamotridge.nodes import load
from bergamotridge.upstreams import completion, request_tracker, threshold
from bergamotridge.util import message

PER_S = {"view": 18, "hand-in": 10, "lookup": 10, "report": 10}
CALLS = {"view": 8, "hand-in": 8, "lookup": 4, "report": 0}
REJECTED, RETRIED = 0.55, 0.1
ACCEPTED = 1.0 - REJECTED * (1.0 - RETRIED)
REJECTS_FROM_S, REJECTS_UNTIL_S, END_S = 4.0, 12.0, 16.0
DURATION_S = 0.6
SEEDS = 8


def find_dependencies(service, route, now):
    return frozenset(("deep",)) if CALLS[route] else frozenset()


def accepted_fraction(service, now):
    return 0.4 if REJECTS_FROM_S <= now < REJECTS_UNTIL_S else 1.0


def accept_all(service, now):
    return 1.0


@attrs.define
class Tally:
    """Requests of one route: asked for, begun and completed."""

    asked: int = 0
    begun: int = 0
    completed: int = 0

    @property
    def begun_fraction(self):
        return self.begun / self.asked

    def add(self, other):
        self.asked += other.asked
        self.begun += other.begun
        self.completed += other.completed


def run(route, accepted, seed):
    """Returns a tally for each whole second of the requests of one route at one node."""
    rng = random.Random(seed)
    guard = completion.CompletionGuard(find_dependencies, accepted)
    tallies = [Tally() for _ in range(int(END_S))]
    running = []
    for tick in range(int(END_S * 100)):
        now = tick / 100
        while running and running[0][0] + DURATION_S <= now:
            began, completed = running.pop(0)
            guard.record_end("top", route, began, completed=completed, now=now)
        if rng.random() >= PER_S[route] / 100:
            continue
        tally = tallies[int(now)]
        tally.asked += 1
        try:
            guard.check("top", route, f"{seed}-{tick}", now)
        except errors.CallError as error:
            assert (error.verdict, error.status) == (verdict.Verdict.NOT_RUN, 503)
            assert error.retry_after_s > 0.0
            continue
        is_hit = REJECTS_FROM_S <= now < REJECTS_UNTIL_S
        completed = not is_hit or rng.random() < ACCEPTED ** CALLS[route]
        tally.begun += 1
        tally.completed += completed
        running.append((now, completed))
    return tallies


def sum_seeds(route, start, end, accepted=accepted_fraction):
    """Returns the tally of the seconds from `start` to `end`, of several seeds together."""
    total = Tally()
    for seed in range(SEEDS):
        for tally in run(route, accepted, seed)[start:end]:
            total.add(tally)
    return total


@pytest.mark.parametrize("route", ["view", "hand-in"])
def test_requests_that_hardly_complete_are_refused_before_they_begin(route):
    assert sum_seeds(route, 0, 4).begun_fraction == 1.0
    assert sum_seeds(route, 6, 12).begun_fraction < 0.5


# Requests of four calls complete often enough to be worth their work.
def test_most_requests_of_which_some_complete_are_begun():
    assert sum_seeds("lookup", 4, 12).begun_fraction > 0.8


def test_requests_that_need_no_such_calls_are_not_refused():
    assert sum_seeds("report", 0, 16).begun_fraction == 1.0


# Waiting for the requests that are begun anyway to complete again would take seconds.
def test_all_requests_are_begun_once_the_service_accepts_calls_again():
    assert sum_seeds("view", 12, 16).begun_fraction == 1.0


# An upstream may fail all requests of a route for a reason of its own.
def test_nothing_is_refused_for_failures_alone():
    assert sum_seeds("view", 4, 12, accept_all).begun_fraction == 1.0


def test_one_failure_and_old_ones_are_no_evidence():
    counted = completion.Completion()
    assert counted.begun_share("view", 0.0) == 1.0
    counted.record_end("view", 0.5, completed=False, now=1.0)
    assert counted.begun_share("view", 1.0) > 0.5
    for _ in range(50):
        counted.record_end("view", 0.5, completed=False, now=1.0)
    assert counted.begun_share("view", 1.0) < 0.1
    assert counted.begun_share("view", 1.0 + 6 * completion.WINDOW_S) > 0.9


# Requests that began before the rejections completed, and hid for seconds that none does now.
def test_requests_that_began_before_are_not_counted():
    counted = completion.Completion()
    counted.begun_share("view", 1.0)
    for _ in range(50):
        counted.record_end("view", 0.9, completed=True, now=1.2)
        counted.record_end("view", 1.1, completed=False, now=1.2)
    assert counted.begun_share("view", 1.2) < 0.1


# Names of routes come with each configuration, and must not add up for ever.
def test_routes_without_requests_are_forgotten():
    counted = completion.Completion()
    for number in range(3 * completion.MAX_ROUTES):
        counted.begun_share(f"route-{number}", float(number))
    assert len(counted._routes) <= completion.MAX_ROUTES + 1


class Attribution:
    """Takes what the tracker tells of requests."""

    def begin_request(self, *_):
        return None

    def end_request(self, *_):
        pass


def track(guard, depth, results):
    """Lets a tracker check and track requests; returns how many it refused."""
    now = [10.0]
    tracker = request_tracker.RequestTracker(Attribution(), lambda *_: "view", lambda: now[0])
    tracker.guard = guard
    request, refused = message.Request(b"GET", b"/v", []), 0
    for number, result in enumerate(results):
        context = call.CallContext(
            f"r{number}", "", call.Importance.STANDARD, 99.0, depth, True, unattributed=bool(depth)
        )
        try:
            tracker.check("top", context, request)
        except errors.CallError:
            refused += 1
            continue
        with tracker.track("top", context, request) as tracked:
            now[0] += 0.01
            tracked.result = result
    return refused


FAILED = answer.Answer(message.Response(500), verdict.Verdict.RUN, "upstream-error")
NOT_RUN = answer.Answer(message.Response(503), verdict.Verdict.NOT_RUN, "upstream-shed")


# Refusing a call of another upstream would lose the work on the request above it. What the upstream
# did not run, or did not answer, says nothing of what completes.
@pytest.mark.parametrize(
    ("depth", "result", "refuses"),
    [(0, FAILED, True), (1, FAILED, False), (0, NOT_RUN, False), (0, None, False)],
)
def test_only_requests_of_callers_that_fail_are_refused(depth, result, refuses):
    guard = completion.CompletionGuard(find_dependencies, lambda service, now: 0.4)
    assert (track(guard, depth, [result] * 200) > 50) is refuses


def test_a_tracker_without_a_guard_refuses_nothing():
    assert not track(None, 0, [FAILED] * 200)


def make_controller(rejected, ends=200):
    controller = threshold.ThresholdController(scarce=True)
    context = call.CallContext("r", "", call.Importance.CRITICAL, 9.0, 1, True, unattributed=True)
    controller.record_arrival(context)
    for number in range(ends):
        controller.record_end(was_rejected=number < rejected * ends)
    controller.update(10, 0, {}, 0.0)
    controller.update(10, 0, {}, 0.06)
    return controller


@pytest.mark.parametrize(("rejected", "accepted"), [(0.0, 1.0), (0.1, 1.0), (0.55, 0.5)])
def test_a_gate_tells_what_its_upstream_accepts_and_sheds_nothing_for_it(rejected, accepted):
    told = load.decode_threshold(make_controller(rejected).threshold.encoded)
    assert told.accepted == pytest.approx(accepted, abs=0.1)
    assert (told.accepted < 1.0) is (accepted < 1.0)
    assert told.admits_all
    assert (told is load.ADMIT_ALL) is (accepted == 1.0)


# One upstream of several that accepts calls gets them, as far as it has room.
def test_a_service_rejects_calls_only_if_all_of_its_upstreams_do():
    table = shedding.ThresholdTable()
    table.observe("deep", load.Threshold(accepted=0.4), 1.0, "h1")
    assert table.accepted_fraction("deep", 1.0) == 0.4
    table.observe("deep", load.Threshold(accepted=0.6), 1.0, "h2")
    assert table.accepted_fraction("deep", 1.0) == pytest.approx(0.5)
    table.observe("deep", load.ADMIT_ALL, 1.0, "h3")
    assert table.accepted_fraction("deep", 1.0) == 1.0


# Nodes far above learn it with answers that other nodes pass on, and it ends without them.
def test_rejections_are_passed_on_and_expire():
    near, far = shedding.ThresholdTable(), shedding.ThresholdTable()
    near.observe("deep", load.Threshold(accepted=0.4), 1.0, "h1")
    far.merge(near.encode(["deep"], 1.2), ["deep"], 1.2)
    assert far.accepted_fraction("deep", 1.3) == pytest.approx(0.4)
    assert far.accepted_fraction("deep", 1.1 + shedding.FRESH_S + shedding.DECAY_S) == 1.0
