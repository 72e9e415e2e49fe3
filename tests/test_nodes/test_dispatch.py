"""Dispatch: retries are paid for, safe, and never make a verdict untrue."""

import time

import pytest

from bergamotridge import answer, call, errors, events, verdict
from bergamotridge.nodes import budget, dispatch, record
from bergamotridge.util import cancellation, message
from tests import event_loop

NOT_RUN, DOUBT, RUN = verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN, verdict.Verdict.RUN
HOSTS = ("h1", "h2", "h3", "h4")


def make_record(host: str) -> record.UpstreamRecord:
    return record.UpstreamRecord(
        host, 1, 1, "fd1", "r1", "pay", record.State.READY, 10, 0.0, f"{host}:1", f"{host}:2"
    )


class Fleet:
    """Stands for the other nodes: gives the n-th attempt the n-th verdict."""

    def __init__(self, *verdicts: verdict.Verdict) -> None:
        self.verdicts = list(verdicts)
        self.hosts: list[str] = []

    async def send(self, address, relayed, request, token) -> answer.Answer:
        self.hosts.append(address.partition(":")[0])
        given = self.verdicts.pop(0)
        if given is RUN:
            return answer.Answer(message.Response(200), RUN, "", relayed.retries)
        error = errors.CallError("x", status=503, reason="shed", verdict=given)
        return answer.refuse(error, relayed.retries)

    def candidates(self, service):
        return [make_record(host) for host in HOSTS]

    def choose(self, candidates, excluded, now, may_probe):
        return next((item for item in candidates if item.host not in excluded), None)

    def report(self, *_) -> None:
        pass


def send(fleet: Fleet, *, repeatable: bool, retries: int = 3, left_s: float = 60.0):
    dispatcher = dispatch.Dispatcher(
        "own",
        None,
        fleet,
        fleet,
        fleet,
        budget.RetryBudget(),
        None,
        events.EventLog("own", 1, "fd1"),
    )
    deadline = time.monotonic() + left_s
    context = call.CallContext("r", "t", call.Importance.CRITICAL, deadline, 0, repeatable)
    outgoing = dispatch.Outgoing("pay", context, message.Request(b"POST", b"/pay", []))
    allowance = call.Allowance(retries)
    given = event_loop.run(dispatcher.send(outgoing, allowance, cancellation.Token()))
    return given, allowance


def test_refusal_after_an_attempt_in_doubt_is_not_called_not_run():
    given, _ = send(Fleet(DOUBT, NOT_RUN, NOT_RUN, NOT_RUN), repeatable=True)
    assert given.verdict is DOUBT


@pytest.mark.parametrize(
    ("verdicts", "repeatable", "attempts"),
    [
        ((NOT_RUN, RUN), False, 2),
        ((DOUBT, RUN), False, 1),
        ((NOT_RUN, DOUBT, RUN), False, 2),
        ((DOUBT, RUN), True, 2),
        ((RUN,), True, 1),
    ],
)
def test_only_calls_that_did_not_run_are_sent_again_unless_repeatable(
    verdicts, repeatable, attempts
):
    fleet = Fleet(*verdicts)
    send(fleet, repeatable=repeatable)
    assert len(fleet.hosts) == attempts
    assert len(set(fleet.hosts)) == attempts


def test_attempts_never_exceed_one_and_the_allowance():
    fleet = Fleet(*[NOT_RUN] * 9)
    given, allowance = send(fleet, repeatable=True, retries=2)
    assert (len(fleet.hosts), allowance.left, given.verdict) == (3, 0, NOT_RUN)


def test_no_retry_after_the_deadline():
    fleet = Fleet(NOT_RUN, RUN)
    send(fleet, repeatable=True, left_s=-1.0)
    assert len(fleet.hosts) == 1


def test_the_answer_of_an_upstream_is_told_and_not_a_refusal_that_came_after_it():
    answered = answer.Answer(message.Response(500), RUN, "upstream-error")
    refused = answer.refuse(errors.CallError("full", status=503, reason="shed"))
    assert dispatch._joined(answered, refused) is answered


def test_a_host_that_its_upstream_has_left_costs_no_retry(monkeypatch):
    fleet = Fleet(NOT_RUN, NOT_RUN, RUN)
    monkeypatch.setattr(dispatch, "_ELSEWHERE", frozenset(("shed",)))
    given, allowance = send(fleet, repeatable=False, retries=0)
    assert (given.verdict, len(fleet.hosts), allowance.left) == (RUN, 3, 0)
