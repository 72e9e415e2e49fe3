"""Requests that could have been lost are counted, seeds that were hardly served apart."""

import pytest

from soak.machines import access, at_risk, findings, record

AT, TOOK_S = 20.0, 0.5
CALM = {"undisturbed": 1}


def make_rows(*happenings, ran=True, status=200, began=AT):
    """Returns the record of one request of machine 1, whose process is 7."""
    rows = record.Record()
    item = record.Attempt(
        "1a", "kept", 1, "alpha", "GET", "/s/5/8/length/0", "", True, connected=began, began=began,
        sent=began, ended=began + TOOK_S, status=status, end="answer",
    )  # fmt: skip
    rows.attempts.append(item)
    if ran:
        rows.runs.append(record.Run(item.id, "i-2", 2, began, "GET", item.path, "", "alpha"))
    rows.happenings += [record.Happening(1.0, "node starts", 1, "7"), *happenings]
    return rows


def make(what, at, detail="7", machine=1):
    return record.Happening(at, what, machine, detail)


@pytest.mark.parametrize(
    ("happenings", "counted"),
    [
        ([], CALM),
        ([make("SIGTERM", AT + 0.2)], {"in_stop": 1}),
        ([make("SIGTERM", AT - 1.0)], {"in_stop": 1}),
        ([make("SIGTERM", AT - 2.9), make("SIGTERM", AT)], {"in_stop": 1, "late_in_stop": 1}),
        ([make("SIGTERM", AT - 7.0)], {}),
        ([make("SIGTERM", AT - 2.9), make("process gone", AT - 0.1)], {}),
        ([make("SIGTERM", AT - 2.9, "8"), make("node starts", AT + 0.1, "8")], {}),
        ([make("SIGTERM", AT + 0.2, "9", machine=2)], CALM),
        ([make("SIGTERM", AT - 1.0), make("SIGKILL", AT + 0.1)], {}),
        ([make("SIGHUP", AT + 0.2)], CALM | {"beside_reload": 1}),
        ([make("SIGHUP", AT - 2.1)], CALM),
        ([make("store trouble", AT, "busy", machine=0)], {}),
    ],
)
def test_a_request_counts_where_its_machine_was_disturbed(happenings, counted):
    assert at_risk.count(make_rows(*happenings)) == at_risk.Counts(1, 1, **counted)


@pytest.mark.parametrize(("before_s", "beside"), [(-0.2, 1), (2.9, 1), (3.1, 0), (-0.6, 0)])
def test_a_request_counts_beside_a_configuration_that_may_be_in_force(before_s, beside):
    rows = make_rows()
    rows.configurations.append(record.Configuration(AT - before_s, 3, access.Access({}, {})))
    assert at_risk.count(rows) == at_risk.Counts(1, 1, beside_configuration=beside, **CALM)


def test_a_request_that_reached_no_server_or_was_not_sent_whole_is_at_no_risk():
    assert at_risk.count(make_rows(ran=False, status=503)) == at_risk.Counts(1)
    rows = make_rows()
    rows.attempts[0].sent = None
    assert at_risk.count(rows) == at_risk.Counts(1, 1)


def test_seeds_in_which_fewer_than_half_were_served_are_summed_apart():
    total = at_risk.Total()
    total.add(at_risk.Counts(10, 5, in_stop=4), [])
    total.add(at_risk.Counts(10, 9, in_stop=3), [findings.Finding("LOST", 1.0, 1, "")])
    assert "apart" not in total.describe()
    total.add(at_risk.Counts(10, 4, in_stop=70), [findings.Finding("GRACE", 1.0, 1, "")])
    served, unserved = total.describe().split("; apart")
    assert "2 seeds, 20 requests" in served and "{'LOST': 1} of 7 at risk" in served
    assert "1 seeds, 10 requests" in unserved and "{'GRACE': 1} of 70 at risk" in unserved
