"""Thresholds at the first node: requests are shed whole, and stale thresholds expire.

Guards against nodes that shed different requests, and against nodes that keep a stale threshold
alive by sending it to each other.
"""

import pytest

from bergamotridge import call, errors
from bergamotridge.callers import shedding
from bergamotridge.nodes import load

STANDARD, SHEDDABLE = call.Importance.STANDARD, call.Importance.SHEDDABLE
HALF = load.Threshold((1.0, 1.0, 0.5), {(STANDARD, "greedy"): 0.25})
SHUT = load.Threshold((1.0, 0.0, 0.0))


def admitted_numbers(table, services, now=0.0, importance=SHEDDABLE, team=""):
    """Returns the numbers of the admitted requests out of 400."""
    admitted = set()
    for number in range(400):
        try:
            table.check(f"r{number}", importance, services, now, team)
        except errors.CallError as error:
            assert error.retry_after_s > 0
        else:
            admitted.add(number)
    return admitted


def test_all_nodes_and_services_shed_the_same_requests():
    one, other = shedding.ThresholdTable(), shedding.ThresholdTable()
    one.observe("depot", HALF, 0.0)
    other.observe("booking", HALF, 0.0)
    admitted = admitted_numbers(one, ["booking", "depot"])
    assert admitted == admitted_numbers(other, ["booking", "depot"])
    assert 150 < len(admitted) < 250
    assert len(admitted_numbers(one, ["booking"])) == 400
    assert len(admitted_numbers(one, ["depot"], importance=STANDARD, team="greedy")) < 150


def test_a_threshold_that_is_not_refreshed_stops_shedding():
    table = shedding.ThresholdTable()
    table.observe("depot", SHUT, 0.0)
    assert not admitted_numbers(table, ["depot"])
    assert (
        0 < len(admitted_numbers(table, ["depot"], shedding.FRESH_S + shedding.DECAY_S / 2)) < 400
    )
    assert len(admitted_numbers(table, ["depot"], shedding.FRESH_S + shedding.DECAY_S)) == 400


@pytest.mark.parametrize(("first", "admitted_count"), [(SHUT, 400), (load.ADMIT_ALL, 0)])
def test_nodes_that_exchange_thresholds_do_not_keep_a_stale_one_alive(first, admitted_count):
    one, other = shedding.ThresholdTable(), shedding.ThresholdTable()
    one.observe("depot", first, 0.0)
    for step in range(1, 80):
        now = step * 0.05
        other.merge(one.encode(["depot"], now), ["depot"], now)
        one.merge(other.encode(["depot"], now), ["depot"], now)
    if first is load.ADMIT_ALL:
        other.observe("depot", SHUT, 4.0)
        one.merge(other.encode(["depot"], 4.1), ["depot"], 4.1)
    assert len(admitted_numbers(one, ["depot"], 4.1)) == admitted_count


def test_one_host_with_room_keeps_the_service_open():
    table = shedding.ThresholdTable()
    table.observe("depot", SHUT, 0.0, "cold")
    table.observe("depot", load.ADMIT_ALL, 0.0, "warm")
    assert len(admitted_numbers(table, ["depot"])) == 400
    table.observe("depot", HALF, 0.1, "warm")
    assert 50 < len(admitted_numbers(table, ["depot"], 0.1)) < 150


def test_malformed_parts_of_a_header_are_ignored():
    table = shedding.ThresholdTable()
    table.merge("depot@x@ depot@1@9,9,9 depot booking@5@0,0,0", ["depot"], 1.0)
    assert len(admitted_numbers(table, ["depot", "booking"], 1.0)) == 400


# One from the future outranked all later ones and shed every call for as long.
@pytest.mark.parametrize("age_ms", ["-1000000000", "nan", "-inf", "inf", "1e999"])
def test_a_threshold_with_an_impossible_age_sheds_nothing_and_outranks_none(age_ms):
    table = shedding.ThresholdTable()
    table.merge(f"depot@{age_ms}@0,0,0", ["depot"], 1.0)
    assert len(admitted_numbers(table, ["depot"], 1.0)) == 400
    table.merge("depot@0@0,0,0", ["depot"], 2.0)
    assert admitted_numbers(table, ["depot"], 2.0) == set()
    table.merge("depot@0@", ["depot"], 3.0)
    assert len(admitted_numbers(table, ["depot"], 3.0)) == 400


def test_an_encoded_report_is_decoded_to_the_same_report():
    report = load.LoadReport(1.25, 50, 50, 12, HALF)
    assert load.LoadReport.from_list(report.to_list()) == report


@pytest.mark.parametrize(
    "fields", [[1, 2, 3], ["a", 2, 3, 4, ""], [1, 2, 3, 4, "9,9,9"], [1, 2, 3, 4, "x"], {}]
)
def test_a_malformed_report_raises_an_error(fields):
    with pytest.raises((ValueError, TypeError)):
        load.LoadReport.from_list(fields)


def test_a_service_sheds_unattributed_calls_only_if_all_its_hosts_do():
    table = shedding.ThresholdTable()
    table.observe("deep", load.Threshold((1.0, 1.0, 0.5), {load.UNATTRIBUTED: 0.4}), 0.0, "h1")
    assert table.unattributed_share("deep", 0.0) == 0.4
    table.observe("deep", load.Threshold((1.0, 1.0, 0.5)), 0.0, "h2")
    assert table.unattributed_share("deep", 0.0) == 1.0


def test_the_share_of_unattributed_calls_recovers_without_refresh():
    table = shedding.ThresholdTable()
    table.observe("deep", load.Threshold(shares={load.UNATTRIBUTED: 0.4}), 0.0, "h1")
    stale_at = shedding.FRESH_S + shedding.DECAY_S
    assert table.unattributed_share("deep", stale_at) == 1.0
