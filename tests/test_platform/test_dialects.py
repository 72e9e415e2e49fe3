"""Header fields on the platform, and which answers may be told to callers."""

import pytest

from bergamotridge import answer, call, errors, verdict
from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement, dialect
from bergamotridge.util import message

SEALED = [(b"request-id", b"r1"), (b"response-seal", b"s")]


@pytest.fixture
def dialects():
    from hosting import dialects

    return dialects


def _sent(dialects, headers=()):
    context = call.CallContext(
        "r1", "ward", call.Importance.CRITICAL, 9.0, 0, False, 1.0, "a.example", "slots"
    )
    to = announcement.Announcement("fees", "127.0.0.1:1", record.State.READY, 1, 5, 5, 0, "i-7")
    request = message.Request(b"POST", b"/x/", [(b"request-id", b"r1"), *headers])
    return dialects.PlatformUpstreamDialect().request(
        dialect.Sending(context, request, to, "c"), 1.5
    )


def test_the_upstream_gets_what_the_node_knows_and_not_what_the_caller_claims(dialects):
    claimed = [(b"tenant", b"x"), (b"caller-service", b"x"), (b"expect-instance", b"x")]
    fields = dict(_sent(dialects, claimed).headers)
    assert fields[b"tenant"] == b"ward" and fields[b"caller-service"] == b"slots"
    assert fields[b"expect-instance"] == b"i-7" and fields[b"deadline-ms"] == b"1500"
    assert fields[b"host"] == b"a.example"


@pytest.mark.parametrize(
    ("status", "headers", "good"),
    [
        (200, SEALED, True),
        (200, [(b"request-id", b"r2"), (b"response-seal", b"s")], False),
        (200, [(b"request-id", b"r1")], False),
        (200, [*SEALED, (b"content-encoding", b"gzip")], False),
        (500, [(b"request-id", b"r1")], True),
        (503, [(b"not-executed", b"1")], True),
    ],
)
def test_only_the_answer_to_the_request_itself_is_taken(dialects, status, headers, good):
    response = message.Response(status, list(headers))
    assert (dialects.PlatformUpstreamDialect().fault(_sent(dialects), response) == "") is good


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, SEALED, (verdict.Verdict.RUN, "")),
        (503, [(b"not-executed", b"1")], (verdict.Verdict.NOT_RUN, "upstream-shed")),
        (421, [], (verdict.Verdict.NOT_RUN, "upstream-replaced")),
        (503, SEALED, (verdict.Verdict.RUN, "upstream-error")),
    ],
)
def test_only_a_word_of_the_upstream_says_that_it_did_not_run(dialects, status, headers, expected):
    reading = dialects.PlatformUpstreamDialect().read(message.Response(status, list(headers)))
    assert (reading.verdict, reading.reason) == expected


def _told(dialects, status, outcome, reason="x"):
    error = errors.CallError("t", status=status, reason=reason, verdict=outcome, retry_after_s=0.25)
    return dialects.PlatformCallerDialect().response(answer.refuse(error), "r1")


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_no_promise_is_given_for_a_call_that_may_have_run(dialects, status):
    assert _told(dialects, status, verdict.Verdict.MAY_HAVE_RUN).status == 502
    assert _told(dialects, 504, verdict.Verdict.MAY_HAVE_RUN).status == 504


def test_a_refusal_says_when_to_come_back(dialects):
    told = _told(dialects, 503, verdict.Verdict.NOT_RUN)
    assert (told.status, told.header(b"retry-after")) == (503, b"0.250")
    assert _told(dialects, 421, verdict.Verdict.NOT_RUN, "upstream-replaced").status == 503


def test_the_answer_of_an_upstream_passes_untouched(dialects):
    given = answer.Answer(message.Response(500, list(SEALED), b"b"), verdict.Verdict.RUN, "e")
    assert dialects.PlatformCallerDialect().response(given, "r1") is given.response
