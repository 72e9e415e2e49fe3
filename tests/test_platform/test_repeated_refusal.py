"""A refusal that a faulty upstream writes once more must not count for a later request."""

import time

import pytest

from bergamotridge import call, verdict
from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement, dialect, gate, live_calls, local_upstream
from bergamotridge.util import cancellation, http_client, message
from tests import event_loop
from tests.test_util import test_http_client

MAY_HAVE_RUN, NOT_RUN = verdict.Verdict.MAY_HAVE_RUN, verdict.Verdict.NOT_RUN


def _encode_refusal(status, *fields):
    head = "".join(f"{field}\r\n" for field in fields)
    return f"HTTP/1.1 {status} x\r\n{head}content-length: 0\r\n\r\n".encode()


def _run_calls(upstream_dialect, *responses):
    """Sends one call for each response over one connection; returns the verdicts."""
    return [item.verdict for item in _answer_calls(upstream_dialect, *responses)]


def _answer_calls(upstream_dialect, *responses, repeatable=False):
    """Sends one call for each response over one connection; returns the answers."""
    server = test_http_client.ScriptedServer(*responses)
    upstream = local_upstream.LocalUpstream(
        gate.Gate(8, 8), live_calls.LiveCalls(), http_client.Pools(1024), upstream_dialect
    )
    now = time.monotonic()
    upstream.apply_announcement(
        announcement.Announcement("depot", server.address, record.State.READY, 1, 8, 8, 0.0), now
    )
    answers = []
    for number in range(len(responses)):
        request_id = f"r{number}"
        context = call.CallContext(
            request_id, "t", call.Importance.CRITICAL, now + 60, 0, repeatable
        )
        request = message.Request(b"POST", b"/pay", [(b"request-id", request_id.encode())], b"x")
        running = upstream.run("depot", context, request, 0, cancellation.Token())
        answers.append(event_loop.run(running))
    return answers


def _platform_dialect():
    from hosting import dialects

    return dialects.PlatformUpstreamDialect()


@pytest.mark.parametrize(
    "refusal",
    [
        _encode_refusal(503, "not-executed: 1"),
        _encode_refusal(503, "not-executed: 1", "request-id: r0"),
        _encode_refusal(429, "not-executed: 1"),
        _encode_refusal(421, "request-id: r0"),
    ],
    ids=["503 without id", "503", "429 without id", "421"],
)
def test_a_refusal_written_again_on_a_kept_connection_does_not_vouch_for_a_later_call(refusal):
    assert _run_calls(_platform_dialect(), refusal, refusal) == [NOT_RUN, MAY_HAVE_RUN]


def test_refusals_of_each_call_itself_are_believed_on_a_kept_connection():
    refusals = [_encode_refusal(503, "not-executed: 1", f"request-id: r{i}") for i in range(3)]
    assert _run_calls(_platform_dialect(), *refusals) == [NOT_RUN] * 3


def test_the_same_holds_for_upstreams_that_speak_the_own_dialect():
    refusal = _encode_refusal(503, "bergamotridge-verdict: not-run")
    assert _run_calls(dialect.DefaultDialect(), refusal, refusal) == [NOT_RUN, MAY_HAVE_RUN]


def test_an_answer_with_the_call_id_of_another_call_is_not_passed_on():
    answered = _encode_refusal(200, "bergamotridge-call: other")
    assert _run_calls(dialect.DefaultDialect(), answered) == [MAY_HAVE_RUN]


# A status above 599 was passed on to the caller, as an answer that had run.
@pytest.mark.parametrize("status", [600, 999])
@pytest.mark.parametrize("repeatable", [False, True])
def test_an_answer_with_a_status_that_is_none_of_http_may_have_run(status, repeatable):
    sealed = _encode_refusal(status, "request-id: r0", "response-seal: s", "not-executed: 1")
    (answered,) = _answer_calls(_platform_dialect(), sealed, repeatable=repeatable)
    assert (answered.response.status, answered.verdict) == (502, MAY_HAVE_RUN)
    assert answered.reason == "upstream-failed"
