"""Whole trees are shed at the first node, in the order of importance."""

import pytest

from bergamotridge import call, errors
from bergamotridge.callers import trees

PAYMENT, LOOKUP = call.Importance.CRITICAL, call.Importance.SHEDDABLE
LOOKUPS_EACH = 3  # For each payment.


class Shares:
    """What each service can take."""

    def __init__(self, **shares):
        self.shares = shares

    def unattributed(self, service, now):
        return self.shares.get(service, 1.0)


def served(shares, below=frozenset(("deep",)), seconds=5.0):
    """Returns the served share of payments and of lookups, half of the time already behind."""
    shedding = trees.TreeShedding(shares, lambda service: below)
    asked, let_in = {PAYMENT: 0, LOOKUP: 0}, {PAYMENT: 0, LOOKUP: 0}
    for number in range(int(seconds * 400)):
        now = number / 400
        level = LOOKUP if number % (LOOKUPS_EACH + 1) else PAYMENT
        try:
            shedding.check(f"request-{number}", level, "front", now)
            passed = 1
        except errors.CallError as error:
            assert error.verdict.value == "not-run"
            assert error.retry_after_s > 0
            passed = 0
        if now > seconds / 2:
            asked[level] += 1
            let_in[level] += passed
    return let_in[PAYMENT] / asked[PAYMENT], let_in[LOOKUP] / asked[LOOKUP]


def test_nothing_is_shed_while_all_services_below_have_room():
    assert served(Shares()) == (1.0, 1.0)


def test_lookups_are_shed_first():
    payments, lookups = served(Shares(deep=0.55))
    assert payments == 1.0
    assert lookups == pytest.approx((0.55 * 4 - 1) / 3, abs=0.08)


def test_payments_are_shed_once_they_alone_are_too_many():
    payments, lookups = served(Shares(deep=0.1))
    assert payments == pytest.approx(0.4, abs=0.1)
    assert lookups == 0.0


def test_a_service_that_does_not_lie_below_sheds_nothing():
    assert served(Shares(other=0.02)) == (1.0, 1.0)
