"""The context header: what one node writes another reads, and nobody else can write."""

import pytest

from bergamotridge import answer, call, verdict
from bergamotridge.nodes import context, load
from bergamotridge.util import hlc, message

TOKEN = context.relay_token("secret")
NOW = 100.0


def relayed() -> context.RelayedCall:
    inner = call.CallContext("r", "téam", call.Importance.SHEDDABLE, NOW + 2, 3, True, 0.5)
    return context.RelayedCall("pay", inner, 4, hlc.Stamp(1, 0, "h"), "key", "route")


def test_deadline_is_anchored_anew_on_the_clock_of_the_receiver():
    _, value = context.encode(TOKEN, relayed(), NOW + 0.5)
    read = context.decode(TOKEN, value, 7.0)
    assert read.context.deadline == pytest.approx(8.5)
    assert read.context.team == "téam"
    assert (read.service, read.retries, read.claim, read.route) == ("pay", 4, "key", "route")
    assert (read.stamp.millis, read.stamp.counter) == (1, 0)


@pytest.mark.parametrize(
    "value",
    [
        None,
        b"",
        b"{}",
        b"[1]",
        b'["x"]',
        context.encode(context.relay_token("other"), relayed(), NOW)[1],
        context.encode(TOKEN, relayed(), NOW)[1].replace(b"pay", b'",'),
        context.encode(TOKEN, relayed(), NOW)[1].replace(TOKEN.encode(), "é".encode()),
    ],
)
def test_anything_else_is_refused(value):
    with pytest.raises(context.ContextError):
        context.decode(TOKEN, value, NOW)


def test_report_travels_whole_and_is_taken_out_of_the_answer():
    report = load.LoadReport(0.5, 10, 5, 0)
    given = answer.Answer(message.Response(503), verdict.Verdict.NOT_RUN, "shed", 2, report, "t")
    response = message.Response(503, [(b"a", b"b"), context.encode_report(given)])
    read = context.decode_report(response)
    assert (read.verdict, read.reason, read.unused, read.report) == (
        verdict.Verdict.NOT_RUN,
        "shed",
        2,
        report,
    )
    assert read.response.headers == [(b"a", b"b")]


def test_answer_without_a_readable_report_is_none():
    response = message.Response(200, [(context.REPORT_HEADER, b"[1]")])
    assert context.decode_report(response) is None
    assert context.decode_report(message.Response(200)) is None
