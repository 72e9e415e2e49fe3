"""Context and report headers: they round-trip, and others than the fleet's nodes are refused."""

import json
import math

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from bergamotridge import answer, call, verdict
from bergamotridge.nodes import context, load
from bergamotridge.upstreams import notice
from bergamotridge.util import hlc, message
from tests import odd_values

TOKEN = context.relay_token("secret")
NOW = 100.0


def make_relayed_call() -> context.RelayedCall:
    call_context = call.CallContext("r", "téam", call.Importance.SHEDDABLE, NOW + 2, 3, True, 0.5)
    return context.RelayedCall("pay", call_context, 4, hlc.Stamp(1, 0, "h"), "key", "route")


def test_decode_sets_the_deadline_on_the_clock_of_the_receiver():
    _, value = context.encode(TOKEN, make_relayed_call(), NOW + 0.5)
    decoded = context.decode(TOKEN, value, 7.0)
    assert decoded.context.deadline == pytest.approx(8.5)
    assert decoded.context.team == "téam"
    assert (decoded.service, decoded.retries, decoded.claim, decoded.route) == (
        "pay",
        4,
        "key",
        "route",
    )
    assert (decoded.stamp.millis, decoded.stamp.counter) == (1, 0)


@pytest.mark.parametrize(
    "value",
    [
        None,
        b"",
        b"{}",
        b"[1]",
        b'["x"]',
        context.encode(context.relay_token("other"), make_relayed_call(), NOW)[1],
        context.encode(TOKEN, make_relayed_call(), NOW)[1].replace(b"pay", b'",'),
        context.encode(TOKEN, make_relayed_call(), NOW)[1].replace(TOKEN.encode(), "é".encode()),
    ],
)
def test_missing_malformed_and_foreign_headers_are_refused(value):
    with pytest.raises(context.ContextError):
        context.decode(TOKEN, value, NOW)


def test_report_round_trips_and_is_removed_from_the_response():
    report = load.LoadReport(0.5, 10, 5, 0)
    sent = answer.Answer(message.Response(503), verdict.Verdict.NOT_RUN, "shed", 2, report, "t")
    response = message.Response(503, [(b"a", b"b"), context.encode_report(sent)])
    decoded = context.decode_report(response)
    assert (decoded.verdict, decoded.reason, decoded.unused, decoded.report) == (
        verdict.Verdict.NOT_RUN,
        "shed",
        2,
        report,
    )
    assert decoded.response.headers == [(b"a", b"b")]


def test_response_without_a_well_formed_report_decodes_to_none():
    response = message.Response(200, [(context.REPORT_HEADER, b"[1]")])
    assert context.decode_report(response) is None
    assert context.decode_report(message.Response(200)) is None


UPSTREAM_NOTICE = notice.UpstreamNotice(
    notice.UpstreamId("i-1", 1000), notice.Notice(43.5, leaving=True)
)


def test_the_notice_of_an_upstream_round_trips_and_is_removed_from_the_response():
    assert context.encode_notice(None) == []
    notice_fields = context.encode_notice(UPSTREAM_NOTICE)
    assert context.decode_notice(notice_fields[0][1]) == UPSTREAM_NOTICE
    report_field = context.encode_report(answer.Answer(message.Response(200), verdict.Verdict.RUN))
    response = message.Response(200, [(b"a", b"b"), *notice_fields, report_field])
    decoded = context.decode_report(response)
    assert decoded.upstream_notice == UPSTREAM_NOTICE
    assert decoded.response.headers == [(b"a", b"b")]


@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b'["i", "x", null, false]'])
def test_a_malformed_notice_is_an_error(value):
    with pytest.raises(context.ContextError):
        context.decode_notice(value)


VALID_CALL = json.loads(context.encode(TOKEN, make_relayed_call(), NOW)[1])
CALLS = st.dictionaries(
    st.integers(1, len(VALID_CALL) - 1), odd_values.TEXTS, min_size=1, max_size=3
).map(
    lambda odd: odd_values.list_text(
        [odd.get(place, json.dumps(value)) for place, value in enumerate(VALID_CALL)]
    )
)


# Values of other types raised errors beside the one for a bad header, or failed the call later on:
# status 500 and "may have run". A time of 10**30 kept this node from relaying any call.
@odd_values.SETTINGS
@hypothesis.given(value=CALLS.map(str.encode) | odd_values.BODIES)
def test_whatever_a_context_header_holds_it_is_refused_or_can_be_passed_on(value):
    clock = hlc.HybridClock("h")
    try:
        decoded = context.decode(TOKEN, value, NOW)
    except context.ContextError:
        return
    if decoded.stamp is not None:
        clock.observe(decoded.stamp)
    passed_on = attrs.evolve(decoded, stamp=clock.stamp(1))
    context.decode(TOKEN, context.encode(TOKEN, passed_on, NOW)[1], NOW)
    assert math.isfinite(decoded.context.deadline)


@odd_values.SETTINGS
@hypothesis.given(
    values=st.lists(odd_values.TEXTS, min_size=3, max_size=4),
    rate_limit=odd_values.TEXTS,
)
@hypothesis.example(values=['"i"', str(10**18), "false"], rate_limit='"nan"')
@hypothesis.example(values=['"i"', '"' + "9" * 30 + '"', "false"], rate_limit="1")
def test_whatever_a_notice_holds_it_is_refused_or_can_be_passed_on(values, rate_limit):
    text = odd_values.list_text([*values[:2], rate_limit, *values[2:]])
    try:
        decoded = context.decode_notice(text.encode())
    except context.ContextError:
        return
    assert context.decode_notice(context.encode_notice(decoded)[0][1]) == decoded
    assert decoded.notice.rate_limit is None or math.isfinite(decoded.notice.rate_limit)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda children: st.lists(children, max_size=9),
    max_leaves=20,
)


# A report with a number for its threshold raised AttributeError in the task of a call.
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=300)
@hypothesis.given(st.lists(JSON_VALUES, min_size=8, max_size=8) | JSON_VALUES, JSON_VALUES)
@hypothesis.example(["run", "", 0, [0.5, 1, 1, 0, 5], "", 0, 0, None], None)
@hypothesis.example([[], "", 0, None, "", 0, 0, None], None)
@hypothesis.example(["run", "", 0, None, "", 0, 0, float("nan")], None)
@hypothesis.example(["run", "", 0, ["nan", 1, 1, 0, ""], "", 0, 0, None], None)
def test_a_malformed_report_is_none_whatever_it_holds(report, upstream_notice):
    fields = [
        (context.NOTICE_HEADER, json.dumps(upstream_notice).encode()),
        (context.REPORT_HEADER, json.dumps(report).encode()),
    ]
    decoded = context.decode_report(message.Response(200, fields))
    assert decoded is None or isinstance(decoded.verdict, verdict.Verdict)
    if decoded is not None:
        assert decoded.retry_after_s is None or math.isfinite(decoded.retry_after_s)
        assert decoded.report is None or math.isfinite(decoded.report.load)


# The whole reason was quoted, which cannot be done for a thousand levels: the call failed.
def test_a_report_whose_reason_is_nested_deeply_is_none():
    report = f'["run",{odd_values.nested(1000)},0,null,"",0,0,null]'.encode()
    assert context.decode_report(message.Response(200, [(context.REPORT_HEADER, report)])) is None
