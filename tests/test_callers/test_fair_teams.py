"""Teams that compete for too little room: one that sends ten times its usual, within its rate.

Its requests took the room of all other teams, each of which lost the same share of its requests.
"""

import random

import pytest

from bergamotridge import call, errors
from bergamotridge.callers import fair_teams, tree_shedding

SMALL = [f"small-{number}" for number in range(8)]
SMALL_PER_S, LARGE_PER_S = 0.5, 5.0
SHARE = 0.6


class Shares:
    def unattributed_share(self, service, now):
        return SHARE


def run(*, divides_teams, seconds=60.0, weight=1.0, seed=1):
    """Returns the admitted share of the requests of the small teams and of the large one."""
    rng = random.Random(seed)
    shedder = tree_shedding.TreeShedding(
        Shares(),
        lambda service, route: frozenset(("deep",)),
        divides_teams=divides_teams,
    )
    asked, admitted = {"small": 0, "large": 0}, {"small": 0, "large": 0}
    for tick in range(int(seconds * 100)):
        for team in (*SMALL, "large"):
            per_s = LARGE_PER_S if team == "large" else SMALL_PER_S
            if rng.random() >= per_s / 100:
                continue
            kind = "large" if team == "large" else "small"
            asked[kind] += 1
            try:
                shedder.check(
                    f"{seed}-{team}-{tick}",
                    call.Importance.STANDARD,
                    "top",
                    tick / 100,
                    "view",
                    team,
                    weight if team == "large" else 1.0,
                )
            except errors.CallError as error:
                assert error.verdict.value == "not-run"
            else:
                admitted[kind] += 1
    total = sum(admitted.values()) / sum(asked.values())
    assert total == pytest.approx(SHARE, abs=0.08)
    return admitted["small"] / asked["small"], admitted["large"] / asked["large"]


def test_a_team_that_sends_many_times_its_usual_takes_from_its_own_share_first():
    small, large = run(divides_teams=True)
    assert small > 0.85
    assert large < 0.5


def test_without_the_setting_all_teams_lose_the_same_share():
    small, large = run(divides_teams=False)
    assert small == pytest.approx(large, abs=0.1)


# A large team that pays for a large share must get it.
def test_the_shares_follow_the_weights_of_the_teams():
    small, large = run(divides_teams=True, weight=10.0)
    assert small == pytest.approx(large, abs=0.15)


def test_all_or_nothing_is_divided_evenly():
    teams = fair_teams.FairTeams()
    teams.record("a", 1.0, 0.0)
    assert [teams.share_of("a", share, 0.0) for share in (0.0, -0.5, 1.0, 1.5)] == [
        0.0,
        -0.5,
        1.0,
        1.5,
    ]


# Teams come and go with the configuration.
def test_teams_without_requests_are_forgotten():
    teams = fair_teams.FairTeams()
    for number in range(4 * fair_teams.MAX_TEAMS):
        teams.record(f"team-{number}", 1.0, float(number))
    assert len(teams._teams) <= fair_teams.MAX_TEAMS
