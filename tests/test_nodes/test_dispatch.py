"""Dispatch: retries take from the allowance, repeat no call unsafely and keep verdicts true."""

import time

import pytest

from bergamotridge import answer, call, errors, events, verdict
from bergamotridge.callers import shedding
from bergamotridge.nodes import (
    budget,
    call_graph,
    choice,
    dependency_thresholds,
    dispatch,
    load,
    record,
    relay,
)
from bergamotridge.util import cancellation, message
from tests import event_loop

NOT_RUN, MAY_HAVE_RUN, RUN = (
    verdict.Verdict.NOT_RUN,
    verdict.Verdict.MAY_HAVE_RUN,
    verdict.Verdict.RUN,
)
HOSTS = ("h1", "h2", "h3", "h4")
KIND_POSITION = 5  # Of the arguments of `record_outcome`.


def make_record(host: str) -> record.UpstreamRecord:
    return record.UpstreamRecord(
        host, 1, 1, "fd1", "r1", "pay", record.State.READY, 10, 0.0, f"{host}:1", f"{host}:2"
    )


class FakeFleet:
    """Fake client, directory and chooser; the n-th attempt gets the n-th verdict."""

    def __init__(self, *verdicts: verdict.Verdict, reason: str = "shed") -> None:
        self.verdicts = list(verdicts)
        self.reason = reason
        self.with_room: set[str] = set()
        self.hosts: list[str] = []

    async def send(self, address, relayed, request, token) -> answer.Answer:
        self.hosts.append(address.partition(":")[0])
        attempt_verdict = self.verdicts.pop(0)
        if attempt_verdict is RUN:
            return answer.Answer(message.Response(200), RUN, "", relayed.retries)
        error = errors.CallError("x", status=503, reason=self.reason, verdict=attempt_verdict)
        return answer.from_error(error, relayed.retries)

    def candidates(self, service):
        return [make_record(host) for host in HOSTS]

    def forgotten_leave(self, host, now):
        return None

    def choose(self, candidates, excluded, now, may_probe):
        return next((item for item in candidates if item.host not in excluded), None)

    def choose_with_room(self, candidates, excluded, now):
        return next((item for item in candidates if item.host in self.with_room - excluded), None)

    def record_outcome(self, *_) -> None:
        pass


def make_dispatcher(fleet: FakeFleet, thresholds=None, **options) -> dispatch.Dispatcher:
    return dispatch.Dispatcher(
        "own",
        None,
        fleet,
        fleet,
        fleet,
        budget.RetryBudget(),
        thresholds,
        events.EventLog("own", 1, "fd1"),
        **options,
    )


def send(fleet, *, repeatable: bool, retries: int = 3, time_left_s: float = 60.0, dispatcher=None):
    dispatcher = dispatcher or make_dispatcher(fleet)
    deadline = time.monotonic() + time_left_s
    context = call.CallContext("r", "t", call.Importance.CRITICAL, deadline, 0, repeatable)
    outgoing = dispatch.OutgoingCall("pay", context, message.Request(b"POST", b"/pay", []))
    allowance = call.Allowance(retries)
    received = event_loop.run(dispatcher.send(outgoing, allowance, cancellation.Token()))
    return received, allowance


def test_verdict_stays_may_have_run_when_later_attempts_are_refused():
    received, _ = send(FakeFleet(MAY_HAVE_RUN, NOT_RUN, NOT_RUN, NOT_RUN), repeatable=True)
    assert received.verdict is MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("verdicts", "repeatable", "attempts"),
    [
        ((NOT_RUN, RUN), False, 2),
        ((MAY_HAVE_RUN, RUN), False, 1),
        ((NOT_RUN, MAY_HAVE_RUN, RUN), False, 2),
        ((MAY_HAVE_RUN, RUN), True, 2),
        ((RUN,), True, 1),
    ],
)
def test_calls_that_may_have_run_are_retried_only_if_repeatable(verdicts, repeatable, attempts):
    fleet = FakeFleet(*verdicts)
    send(fleet, repeatable=repeatable)
    assert len(fleet.hosts) == attempts
    assert len(set(fleet.hosts)) == attempts


def test_attempts_are_limited_to_one_plus_the_allowance():
    fleet = FakeFleet(*[NOT_RUN] * 9)
    received, allowance = send(fleet, repeatable=True, retries=2)
    assert (len(fleet.hosts), allowance.left, received.verdict) == (3, 0, NOT_RUN)


def test_no_retry_after_the_deadline():
    fleet = FakeFleet(NOT_RUN, RUN)
    send(fleet, repeatable=True, time_left_s=-1.0)
    assert len(fleet.hosts) == 1


# A call that outlasted its route's timeout was sent to a second node, as timers end some
# milliseconds early; the caller got 502 in place of 504.
def test_an_attempt_that_ended_for_its_deadline_is_not_retried():
    fleet = FakeFleet(MAY_HAVE_RUN, NOT_RUN, reason=errors.DEADLINE)
    received, allowance = send(fleet, repeatable=True, retries=1)
    assert (len(fleet.hosts), allowance.left, received.verdict) == (1, 1, MAY_HAVE_RUN)


# Calls were sent on with less time than any answer takes, and used up retries for refusals.
@pytest.mark.parametrize(("time_left_s", "attempts"), [(0.2, 1), (60.0, 2)])
def test_a_call_is_not_retried_with_less_time_left_than_attempts_take(time_left_s, attempts):
    fleet = FakeFleet(NOT_RUN, NOT_RUN, reason=errors.DEADLINE)
    dispatcher = make_dispatcher(fleet)
    reply = answer.Answer(message.Response(200), RUN)
    dispatcher._record_attempt(make_record("h9"), "pay", reply, 1.0, 1.0)
    _, allowance = send(
        fleet, repeatable=False, retries=1, time_left_s=time_left_s, dispatcher=dispatcher
    )
    assert (len(fleet.hosts), allowance.left) == (attempts, 2 - attempts)


# A call with time left that had reached no upstream was refused beside a free host, as answers to
# other routes of its service take longer.
@pytest.mark.parametrize(("reason", "attempts"), [("draining", 2), ("no-upstream", 2), ("shed", 1)])
def test_a_call_that_reached_no_upstream_is_sent_on_while_it_has_time(reason, attempts):
    fleet = FakeFleet(NOT_RUN, RUN, reason=reason)
    dispatcher = make_dispatcher(fleet)
    reply = answer.Answer(message.Response(200), RUN)
    dispatcher._record_attempt(make_record("h9"), "pay", reply, 4.0, 1.0)
    send(fleet, repeatable=False, retries=1, time_left_s=1.0, dispatcher=dispatcher)
    assert len(fleet.hosts) == attempts


# A deadline after an attempt that may have run was told as 503, which promises that it did not.
def test_a_deadline_after_an_attempt_that_may_have_run_gets_504():
    failed = answer.from_error(
        errors.CallError("lost", status=502, reason="upstream-failed", verdict=MAY_HAVE_RUN)
    )
    late = answer.from_error(errors.CallError("late", status=503, reason=errors.DEADLINE))
    combined = dispatch._combine_answers(failed, late)
    assert (combined.response.status, combined.verdict) == (504, MAY_HAVE_RUN)


def test_an_answer_of_an_upstream_is_kept_over_a_later_refusal():
    answered = answer.Answer(message.Response(500), RUN, "upstream-error")
    refused = answer.from_error(errors.CallError("full", status=503, reason="shed"))
    assert dispatch._combine_answers(answered, refused) is answered


# Calls that were sent to no upstream, as it took no connection, ended with 503 beside a free one.
@pytest.mark.parametrize(
    "reason", ["draining", "no-upstream", "node-failed", "upstream-failed", "cold"]
)
def test_an_attempt_that_reached_no_upstream_uses_no_retry(reason):
    fleet = FakeFleet(NOT_RUN, NOT_RUN, RUN, reason=reason)
    received, allowance = send(fleet, repeatable=False, retries=0)
    assert (received.verdict, len(fleet.hosts), allowance.left) == (RUN, 3, 0)


# Calls that a full gate shed ended with 503 beside an upstream with room once retries were spent.
def test_a_call_that_a_gate_shed_goes_to_an_upstream_with_room_without_a_retry():
    fleet = FakeFleet(NOT_RUN, RUN)
    fleet.with_room = {"h3"}
    received, allowance = send(fleet, repeatable=False, retries=0)
    assert (received.verdict, fleet.hosts, allowance.left) == (RUN, ["h1", "h3"], 0)


def test_calls_that_gates_shed_again_and_again_are_not_sent_on_for_long():
    fleet = FakeFleet(*[NOT_RUN] * 4)
    fleet.with_room = set(HOSTS)
    received, _ = send(fleet, repeatable=False, retries=0)
    assert (received.verdict, len(fleet.hosts)) == (NOT_RUN, dispatch.MAX_ATTEMPTS_FOR_ROOM)


# Guards against calls that visit all nodes of a service whose upstreams are all cold.
def test_calls_that_cold_upstreams_refuse_again_and_again_are_not_sent_on_for_long():
    fleet = FakeFleet(*[NOT_RUN] * 4, reason="cold")
    send(fleet, repeatable=False, retries=0)
    assert len(fleet.hosts) == dispatch.MAX_ATTEMPTS_FOR_ROOM


@pytest.mark.parametrize(
    ("reason", "is_shed"),
    [
        ("draining", True),
        ("no-upstream", True),
        ("node-failed", True),
        ("upstream-failed", True),
        ("cold", True),
        ("shed", False),
        ("", False),
    ],
)
def test_only_hosts_whose_upstream_takes_calls_can_end_shedding(reason, is_shed):
    table = shedding.ThresholdTable()
    thresholds = dependency_thresholds.DependencyThresholds(
        table, call_graph.CallGraph(lambda service: frozenset())
    )
    dispatcher = make_dispatcher(FakeFleet(), thresholds)
    shed_half = load.Threshold((0.5,) * len(call.Importance), {})
    for host, answer_reason, threshold in (
        ("h1", "shed", shed_half),
        ("h2", reason, load.ADMIT_ALL),
    ):
        report = load.LoadReport(0.0, 10, 0, 0, threshold)
        reply = answer.Answer(message.Response(503), NOT_RUN, answer_reason, report=report)
        dispatcher._record_attempt(make_record(host), "pay", reply, 0.01, 1.0)
    assert (table.encode(["pay"], 1.0) != "pay@0@") is is_shed


# A call that was too long for the ports of all nodes made its sender leave out one after the other.
def test_a_port_that_can_not_read_a_call_counts_as_no_failure_of_its_host(monkeypatch):
    fleet, outcomes = FakeFleet(), []
    monkeypatch.setattr(fleet, "record_outcome", lambda host, result, *_: outcomes.append(result))
    reply = answer.Answer(message.Response(503), NOT_RUN, relay.NODE_REFUSED)
    make_dispatcher(fleet)._record_attempt(make_record("h1"), "pay", reply, 0.01, 1.0)
    assert len(outcomes) == 1 and outcomes[0] not in choice.FAILURE_OUTCOMES


# An upstream that fails at once would count as the quickest one of its service.
def test_calls_with_errors_and_calls_with_other_work_are_of_other_kinds(monkeypatch):
    kinds = []
    for status, repeatable in ((200, True), (204, True), (500, True), (200, False)):
        fleet = FakeFleet(RUN)
        monkeypatch.setattr(
            fleet, "record_outcome", lambda *given: kinds.append(given[KIND_POSITION])
        )
        dispatcher, sent = make_dispatcher(fleet), fleet.send

        async def answer_with(*arguments, status=status, sent=sent):
            reply = await sent(*arguments)
            reply.response.status = status
            return reply

        monkeypatch.setattr(fleet, "send", answer_with)
        send(fleet, repeatable=repeatable, dispatcher=dispatcher)
    assert kinds[0] == kinds[1] and len(set(kinds)) == 3


# An upstream that rejects calls is avoided; a refusal by a gate or a failure tells nothing of that.
@pytest.mark.parametrize(
    ("reason", "attempt_verdict", "accepted"),
    [
        ("", RUN, True),
        ("upstream-error", RUN, True),
        ("upstream-shed", NOT_RUN, False),
        ("shed", NOT_RUN, None),
        ("upstream-failed", MAY_HAVE_RUN, None),
    ],
)
def test_the_choice_learns_what_upstreams_accept(monkeypatch, reason, attempt_verdict, accepted):
    told = []
    fleet = FakeFleet()
    monkeypatch.setattr(fleet, "record_outcome", lambda *given: told.append(given[-1]))
    reply = answer.Answer(message.Response(503), attempt_verdict, reason)
    make_dispatcher(fleet)._record_attempt(make_record("h1"), "pay", reply, 0.01, 1.0)
    assert told == [accepted]


# Nothing but calls may tell that a node was killed, as no link may have it as its peer.
@pytest.mark.parametrize("reason", [relay.NODE_FAILED, "shed"])
def test_a_node_that_a_call_did_not_reach_is_told_of(reason):
    told = []
    dispatcher = make_dispatcher(FakeFleet(), on_node_failed=told.append)
    reply = answer.Answer(message.Response(503), NOT_RUN, reason)
    dispatcher._record_attempt(make_record("h1"), "pay", reply, 0.01, 1.0)
    assert told == (["h1"] if reason == relay.NODE_FAILED else [])
