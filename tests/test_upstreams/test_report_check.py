"""The health check for a report that may be late: when it is made, and what its answers mean."""

import asyncio

import attrs
import pytest

from bergamotridge import verdict
from bergamotridge.nodes import record
from bergamotridge.upstreams import report_check, report_proof
from bergamotridge.util import http_client, message
from tests import event_loop
from tests.test_upstreams import test_report_proof

AS_OLD_AS_MAY_BE_MS = test_report_proof.START_MS + report_proof.MIN_LIFE_MS
STEP_S = 0.05
ALIVE = message.Response(200, [(b"id", b"i-1")], b"")


FULL = message.Response(503, [], b"")
UNANSWERED = http_client.TransferError("no answer in time", verdict.Verdict.MAY_HAVE_RUN)
HEARTBEAT_S = test_report_proof.HEARTBEAT_S


@attrs.define
class Beside:
    """Everything beside the check: configuration, upstream, loop, and what it was told."""

    answer: message.Response | Exception = ALIVE
    path: str = "/health"
    targets: list = attrs.field(factory=list)
    applied: list = attrs.field(factory=list)
    cold_s: list = attrs.field(factory=list)
    told: list = attrs.field(factory=list)
    answers: list = attrs.field(factory=list)  # Before `answer`.
    sleepers: list = attrs.field(factory=list)
    now: float = 7.0

    def make_check(self):
        proof = report_proof.ReportProof(AS_OLD_AS_MAY_BE_MS, test_report_proof.HEARTBEAT_S)
        return report_check.ReportCheck(
            proof,
            lambda service: self.path,
            lambda response: (response.header(b"id") or b"").decode(),
            self._apply,
            self,
            self,
            self,
            lambda: self.now,
            self.sleep,
            lambda response: float(response.header(b"cold") or 0) or None,
        )

    def _apply(self, received, now):
        self.applied.append(received.sequence)
        self.cold_s.append(received.cold_s)

    async def sleep(self, pause_s):
        until, ended = self.now + pause_s, asyncio.Event()
        self.sleepers.append((until, ended))
        await ended.wait()

    async def advance(self, duration_s):
        """Lets time pass in small steps."""
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            for until, ended in self.sleepers:
                if until <= self.now + STEP_S / 2:
                    ended.set()
            await settle()

    def submit(self, coroutine):
        return asyncio.ensure_future(coroutine)

    def pool_for(self, address):
        assert address == "127.0.0.1:1"
        return self

    async def send(self, request, timeout_s):
        assert timeout_s <= 1.0
        self.targets.append(request.target)
        answer = self.answers.pop(0) if self.answers else self.answer
        if isinstance(answer, Exception):
            raise answer
        return answer

    def record_held(self, received):
        self.told.append("held")

    def record_probe(self, asked, result):
        self.told.append(result)

    def record_proof(self, received):
        self.told.append("proven")


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def receive(beside, *sequences, then=lambda check: None):
    async def run():
        check = beside.make_check()
        for now, sequence in enumerate(sequences):
            check.receive(test_report_proof.announce(sequence), 0.1 * now)
            await settle()
        then(check)
        await settle()

    event_loop.run(run())


def test_reports_count_once_the_upstream_has_answered():
    beside = Beside()
    receive(beside, 1, 2, 3)
    assert beside.applied == [1, 2, 3]
    assert beside.targets == [b"/health"]
    assert beside.told == ["held", "status 200 of upstream 'i-1'", "proven"]


# Guards against full load for an upstream that became cold between its report and its answer.
def test_the_health_check_tells_how_long_the_upstream_stays_cold():
    beside = Beside(answer=message.Response(200, [(b"id", b"i-1"), (b"cold", b"2.5")], b""))
    receive(beside, 1)
    assert beside.cold_s == [2.5]


@pytest.mark.parametrize(
    ("answer", "result"),
    [
        (message.Response(503, [(b"id", b"i-1")], b""), "status 503"),
        (message.Response(200, [], b""), "status 200 without an id"),
        (message.Response(200, [(b"id", b"i-2")], b""), "status 200 of upstream 'i-2'"),
        (http_client.TransferError("refused", verdict.Verdict.NOT_RUN), "no answer: refused"),
    ],
)
def test_another_answer_is_no_proof_and_each_report_is_asked_for_once(answer, result):
    beside = Beside(answer)
    receive(beside, 1, 2, 3)
    assert beside.applied == []
    assert beside.targets == [b"/health"] * 3
    assert beside.told == ["held", result, result, result]


def test_the_check_is_made_when_the_configuration_has_come():
    beside = Beside(path="")

    def configure(check):
        beside.path = "/alive"
        check.handle_configuration()

    receive(beside, 1, 2, then=configure)
    assert beside.targets == [b"/alive"]
    assert beside.applied == [2]


# A live upstream was served a heartbeat later for each check that it refused, as it was full.
def test_a_check_that_was_refused_or_unanswered_is_repeated_before_the_next_report():
    beside = Beside(answers=[FULL, UNANSWERED, FULL])

    async def run():
        check = beside.make_check()
        check.receive(test_report_proof.announce(1), beside.now)
        await beside.advance(HEARTBEAT_S - STEP_S)

    event_loop.run(run())
    assert beside.applied == [1]
    assert len(beside.targets) == 4
    assert beside.told[-2:] == ["status 200 of upstream 'i-1'", "proven"]


@pytest.mark.parametrize("answer", [FULL, UNANSWERED])
def test_a_check_is_repeated_only_until_the_next_report_is_due(answer):
    beside = Beside(answer)

    async def run():
        check = beside.make_check()
        check.receive(test_report_proof.announce(1), beside.now)
        await beside.advance(HEARTBEAT_S)
        repeats = len(beside.targets)
        await beside.advance(10 * HEARTBEAT_S)
        assert len(beside.targets) == repeats

    event_loop.run(run())
    assert beside.applied == []


def test_a_check_is_not_repeated_after_the_upstream_has_said_that_it_leaves():
    beside = Beside(answers=[FULL])

    async def run():
        check = beside.make_check()
        check.receive(test_report_proof.announce(1), beside.now)
        await settle()
        draining = test_report_proof.announce(2, state=record.State.DRAINING)
        check.receive(draining, beside.now)
        await beside.advance(HEARTBEAT_S)

    event_loop.run(run())
    assert beside.applied == [2]
    assert len(beside.targets) == 1


@pytest.mark.parametrize(
    "answer",
    [message.Response(200, [], b""), message.Response(200, [(b"id", b"i-2")], b"")],
    ids=["unnamed", "another"],
)
def test_a_check_that_has_an_answer_is_not_repeated(answer):
    beside = Beside(answer)

    async def run():
        check = beside.make_check()
        check.receive(test_report_proof.announce(1), beside.now)
        await beside.advance(2 * HEARTBEAT_S)

    event_loop.run(run())
    assert len(beside.targets) == 1


def test_two_reports_are_not_asked_for_side_by_side():
    beside = Beside(FULL)

    async def run():
        check = beside.make_check()
        for sequence in range(1, 4):
            check.receive(test_report_proof.announce(sequence), beside.now)
            await settle()
        before = len(beside.targets)
        await beside.advance(report_check.REPEAT_PAUSE_S)
        assert len(beside.targets) == before + 1

    event_loop.run(run())
