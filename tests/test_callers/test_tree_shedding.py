"""Requests are shed whole at the first node, in the order of importance.

Guards against shedding of payments while lookups, which matter less, still go to the same
overloaded dependency.
"""

import pytest

from bergamotridge import call, errors
from bergamotridge.callers import tree_shedding
from bergamotridge.upstreams import refusal

PAYMENT, LOOKUP = call.Importance.CRITICAL, call.Importance.SHEDDABLE
LOOKUPS_PER_PAYMENT = 3


class Shares:
    """Fixed shares of unattributed calls that services admit; 1.0 for services not given."""

    def __init__(self, **shares):
        self.shares = shares

    def unattributed_share(self, service, now):
        return self.shares.get(service, 1.0)


def admitted_shares(shares, dependencies=frozenset(("deep",)), seconds=5.0):
    """Returns the admitted share of payments and of lookups.

    Only the second half of the time is counted, when the measured rates have settled.
    """
    shedding = tree_shedding.TreeShedding(shares, lambda service, route: dependencies)
    sent, admitted = {PAYMENT: 0, LOOKUP: 0}, {PAYMENT: 0, LOOKUP: 0}
    for number in range(int(seconds * 400)):
        now = number / 400
        level = LOOKUP if number % (LOOKUPS_PER_PAYMENT + 1) else PAYMENT
        try:
            shedding.check(f"request-{number}", level, "front", now)
            passed = 1
        except errors.CallError as error:
            assert error.verdict.value == "not-run"
            assert error.retry_after_s > 0
            passed = 0
        if now > seconds / 2:
            sent[level] += 1
            admitted[level] += passed
    return admitted[PAYMENT] / sent[PAYMENT], admitted[LOOKUP] / sent[LOOKUP]


def test_nothing_is_shed_while_all_dependencies_have_room():
    assert admitted_shares(Shares()) == (1.0, 1.0)


def test_lookups_are_shed_first():
    payments, lookups = admitted_shares(Shares(deep=0.55))
    assert payments == 1.0
    assert lookups == pytest.approx((0.55 * 4 - 1) / 3, abs=0.08)


def test_payments_are_shed_once_they_alone_exceed_the_share():
    payments, lookups = admitted_shares(Shares(deep=0.1))
    assert payments == pytest.approx(0.4, abs=0.1)
    assert lookups == 0.0


# Bookings were refused for an overloaded service that only lookups need.
def test_only_requests_on_routes_that_need_the_dependency_are_shed():
    needs = {"booking": frozenset(), "lookup": frozenset(("deep",))}
    shedder = tree_shedding.TreeShedding(Shares(deep=0.0), lambda service, route: needs[route])
    shedder.check("request-1", PAYMENT, "bookings", 0.0, "booking")
    with pytest.raises(errors.CallError, match="'deep', a dependency of 'bookings'"):
        shedder.check("request-1", LOOKUP, "bookings", 0.0, "lookup")


def test_an_overloaded_service_that_is_not_a_dependency_sheds_nothing():
    assert admitted_shares(Shares(other=0.02)) == (1.0, 1.0)


# All refused callers were told to return after nearly the same time, too late for their targets.
@pytest.mark.parametrize("share", [0.9, 0.5, 0.02])
def test_refused_callers_return_soon_if_most_are_admitted_and_never_together(share):
    shedder = tree_shedding.TreeShedding(
        Shares(deep=share), lambda service, route: frozenset(("deep",)), returns_by_share=True
    )
    returns = []
    for number in range(2000):
        try:
            shedder.check(f"r{number}", call.Importance.STANDARD, "top", number / 1000)
        except errors.CallError as error:
            returns.append(error.retry_after_s)
    spread = (refusal.MAX_RETURN_S - refusal.MIN_RETURN_S) * (1.0 - share)
    assert min(returns) >= refusal.MIN_RETURN_S
    assert max(returns) <= refusal.MIN_RETURN_S + spread + 1e-9
    assert max(returns) - min(returns) > 0.9 * spread
