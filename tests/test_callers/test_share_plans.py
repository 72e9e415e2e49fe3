"""What a host does about its quota shares, by the choice of holders."""

import attrs
import pytest

from bergamotridge.callers import share_plans
from bergamotridge.operators import operator_text

NOW = 10.0
TEAM = operator_text.Team("utrecht", rate=100.0, burst=100)
TEAMS = {"utrecht": TEAM}


@attrs.frozen
class FixedChoice:
    """Chooses this host for all teams, or for none."""

    is_chosen: bool
    has_joined: bool = True
    is_settled: bool = True

    def is_holder(self, team):
        return self.is_chosen

    def may_join(self, team, now):
        return self.is_chosen and self.has_joined

    def holder_count(self, team):
        return 3

    def group_of(self, team):
        return f"group-of-{team}"


def plan(choice, held=(), predecessor=(), teams=TEAMS):
    """Returns whether to hold a share, by team, for those for which anything is to be done."""
    held_teams = {name: TEAM for name in held}
    plans = share_plans.SharePlanner(choice).plan(teams, held_teams, predecessor, NOW)
    return {group: [item.chosen for item in items] for group, items in plans.items()}


@pytest.mark.parametrize(
    ("choice", "held", "predecessor", "expected"),
    [
        (FixedChoice(True), (), (), [True]),
        (FixedChoice(True, is_settled=False), (), (), None),
        (FixedChoice(True, is_settled=False), ("utrecht",), (), [True]),
        (FixedChoice(True, has_joined=False), (), (), None),
        (FixedChoice(True, has_joined=False), (), ("utrecht",), [True]),
        (FixedChoice(False), (), (), None),
        (FixedChoice(False), ("utrecht",), (), [False]),
    ],
)
def test_a_share_is_taken_kept_or_given_up_by_the_choice(choice, held, predecessor, expected):
    assert plan(choice, held, predecessor).get("group-of-utrecht") == expected


def test_a_share_of_a_team_that_is_no_longer_configured_is_given_up():
    choice = FixedChoice(False)
    assert plan(choice, held=("utrecht",), teams={}) == {"group-of-utrecht": [False]}


def test_a_return_gives_up_all_shares():
    (group,) = share_plans.SharePlanner(FixedChoice(True)).plan_return(TEAMS).values()
    assert [(item.team, item.chosen, item.holders) for item in group] == [(TEAM, False, 0)]


@pytest.mark.parametrize(
    ("is_chosen", "shares", "is_pending"),
    [
        (True, {}, True),
        (True, {"utrecht": 0.0}, True),
        (True, {"utrecht": 0.5}, False),
        (False, {}, False),
        (False, {"utrecht": 0.0}, True),
    ],
)
def test_a_change_is_pending_until_shares_are_as_chosen(is_chosen, shares, is_pending):
    planner = share_plans.SharePlanner(FixedChoice(is_chosen))
    assert planner.has_pending_change(TEAMS, shares) is is_pending
