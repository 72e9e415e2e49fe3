"""Header fields on the hosting platform, and which statuses may be sent to callers."""

import pytest

from bergamotridge import answer, call, errors, verdict
from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement, dialect
from bergamotridge.util import message

SEALED_HEADERS = [(b"request-id", b"r1"), (b"response-seal", b"s")]


@pytest.fixture
def dialects():
    from hosting import dialects

    return dialects


def _request_to_upstream(dialects, headers=()):
    context = call.CallContext(
        "r1", "ward", call.Importance.CRITICAL, 9.0, 0, False, 1.0, "a.example", "slots"
    )
    target = announcement.Announcement("fees", "127.0.0.1:1", record.State.READY, 1, 5, 5, 0, "i-7")
    request = message.Request(b"POST", b"/x/", [(b"request-id", b"r1"), *headers])
    return dialects.PlatformUpstreamDialect().build_request(
        dialect.UpstreamCall(context, request, target, "c"), 1.5
    )


def test_header_fields_of_the_node_replace_those_that_the_caller_claims(dialects):
    claimed = [(b"tenant", b"x"), (b"caller-service", b"x"), (b"expect-instance", b"x")]
    fields = dict(_request_to_upstream(dialects, claimed).headers)
    assert fields[b"tenant"] == b"ward" and fields[b"caller-service"] == b"slots"
    assert fields[b"expect-instance"] == b"i-7" and fields[b"deadline-ms"] == b"1500"
    assert fields[b"host"] == b"a.example"


# A name beyond latin-1 raised an error with each call: status 500 and "may have run".
def test_names_are_sent_in_utf_8(dialects):
    context = call.CallContext(
        "r1", "\u65e5", call.Importance.CRITICAL, 9.0, 0, False, 1.0, "a", "\u672c"
    )
    target = announcement.Announcement(
        "fees", "127.0.0.1:1", record.State.READY, 1, 5, 5, 0, "i-\u9593"
    )
    upstream_call = dialect.UpstreamCall(context, message.Request(b"GET", b"/", []), target, "c")
    fields = dict(dialects.PlatformUpstreamDialect().build_request(upstream_call, 1.5).headers)
    names = (fields[b"tenant"], fields[b"caller-service"], fields[b"expect-instance"])
    assert [name.decode() for name in names] == ["\u65e5", "\u672c", "i-\u9593"]


# So many digits raised an error that is no CallError: status 500 and "may have run".
@pytest.mark.parametrize(
    ("value", "left_s"),
    [
        (b"1500", 1.5),
        (b"0" * 5000 + b"1500", 1.5),
        (b"9" * 400, 86_400.0),
        (b"9" * 5000, 86_400.0),
        (b"-5", None),
        (b"x", None),
        (b"", None),
    ],
)
def test_the_time_that_a_caller_has_left_is_read_whatever_its_length(dialects, value, left_s):
    request = message.Request(b"GET", b"/", [(b"deadline-ms", value)])
    assert dialects.PlatformCallerDialect().time_left_s(request) == left_s


@pytest.mark.parametrize(
    ("status", "headers", "should_be_accepted"),
    [
        (200, SEALED_HEADERS, True),
        (200, [(b"request-id", b"r2"), (b"response-seal", b"s")], False),
        (200, [(b"request-id", b"r1")], False),
        (200, [*SEALED_HEADERS, (b"content-encoding", b"gzip")], False),
        (500, [(b"request-id", b"r1")], True),
        (503, [(b"not-executed", b"1")], True),
    ],
)
def test_only_an_unaltered_response_to_the_request_itself_should_be_accepted(
    dialects, status, headers, should_be_accepted
):
    response = message.Response(status, list(headers))
    assert (
        dialects.PlatformUpstreamDialect().find_fault(
            _request_to_upstream(dialects), response, reused=False
        )
        == ""
    ) is should_be_accepted


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, SEALED_HEADERS, (verdict.Verdict.RUN, "")),
        (503, [(b"not-executed", b"1")], (verdict.Verdict.NOT_RUN, "upstream-shed")),
        (421, [], (verdict.Verdict.NOT_RUN, "upstream-replaced")),
        (503, SEALED_HEADERS, (verdict.Verdict.RUN, "upstream-error")),
    ],
)
def test_a_call_counts_as_not_run_only_if_the_upstream_says_so(dialects, status, headers, expected):
    result = dialects.PlatformUpstreamDialect().interpret_response(
        message.Response(status, list(headers))
    )
    assert (result.verdict, result.reason) == expected


@pytest.mark.parametrize(
    ("headers", "rate_limit", "leaving"),
    [
        ([], None, False),
        ([(b"server-limit", b"43.5")], 43.5, False),
        ([(b"server-leaving", b"1")], None, True),
    ],
)
def test_what_an_upstream_says_about_itself_is_read(dialects, headers, rate_limit, leaving):
    received = dialects.PlatformUpstreamDialect().read_notice(message.Response(200, list(headers)))
    assert (received.rate_limit, received.leaving) == (rate_limit, leaving)


def _response_to_caller(dialects, status, call_verdict, reason="x"):
    error = errors.CallError(
        "t", status=status, reason=reason, verdict=call_verdict, retry_after_s=0.25
    )
    return dialects.PlatformCallerDialect().response(answer.from_error(error), "r1")


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_call_that_may_have_run_gets_no_status_that_means_not_run(dialects, status):
    assert _response_to_caller(dialects, status, verdict.Verdict.MAY_HAVE_RUN).status == 502
    assert _response_to_caller(dialects, 504, verdict.Verdict.MAY_HAVE_RUN).status == 504


# Callers can't send an unsafe request again after 502 or 504, though it had reached no upstream.
@pytest.mark.parametrize(
    ("status", "reason"),
    [(502, "node-failed"), (504, "deadline"), (502, "cancelled"), (502, "upstream-failed")],
)
def test_a_request_that_reached_no_upstream_gets_a_status_that_says_so(dialects, status, reason):
    response = _response_to_caller(dialects, status, verdict.Verdict.NOT_RUN, reason)
    assert (response.status, response.header(b"retry-after")) == (503, b"0.250")


@pytest.mark.parametrize("status", [401, 404, 413])
def test_a_refusal_that_no_repeat_can_change_keeps_its_status(dialects, status):
    assert _response_to_caller(dialects, status, verdict.Verdict.NOT_RUN).status == status


def test_a_refusal_carries_retry_after_and_a_replaced_upstream_gives_status_503(dialects):
    response = _response_to_caller(dialects, 503, verdict.Verdict.NOT_RUN)
    assert (response.status, response.header(b"retry-after")) == (503, b"0.250")
    assert (
        _response_to_caller(dialects, 421, verdict.Verdict.NOT_RUN, "upstream-replaced").status
        == 503
    )


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_an_upstream_that_ran_a_call_does_not_make_the_node_promise_that_it_did_not(
    dialects, status
):
    given = answer.Answer(message.Response(status, list(SEALED_HEADERS)), verdict.Verdict.RUN, "e")
    response = dialects.PlatformCallerDialect().response(given, "r1")
    assert (response.status, response.header(b"response-seal")) == (502, None)


def test_a_response_made_by_an_upstream_is_returned_unchanged(dialects):
    given = answer.Answer(
        message.Response(500, list(SEALED_HEADERS), b"b"), verdict.Verdict.RUN, "e"
    )
    assert dialects.PlatformCallerDialect().response(given, "r1") is given.response
