"""Limits the admission of calls by the rate and burst of their team."""

import threading
from collections.abc import Callable, Mapping
from typing import Protocol

from bergamotridge import errors
from bergamotridge.callers import bucket
from bergamotridge.operators import operator_text

MAX_RETRY_AFTER_S = 60.0
TOO_MANY_REQUESTS = 429


class TeamRates(Protocol):
    """Tracks the tokens of all teams; a call is admitted once a token is spent for it."""

    async def take(self, team: str, now: float) -> None:
        """Spends one token of the team for a call.

        Args:
            team: Name of the team in the operator's text.
            now: Time of `clock.boot_time` in seconds.

        Raises:
            CallError: No token is left; the verdict is NOT_RUN and `retry_after_s` is set.
        """

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Gives back the token of a call that was refused as NOT_RUN.

        Args:
            team: Name of the team.
            now: Time of `clock.boot_time` in seconds.
            taken_at: The `now` with which `take` was called.
        """


def make_rate_error(team: str, retry_after_s: float) -> errors.CallError:
    """Returns the error for a call that exceeds its team's rate and burst."""
    return errors.CallError(
        f"team '{team}' has exceeded its rate and burst; retry later",
        status=TOO_MANY_REQUESTS,
        reason="rate",
        retry_after_s=min(retry_after_s, MAX_RETRY_AFTER_S),
    )


class LocalRates:
    """Team rates for a fleet of a single node; the bucket of each team starts full."""

    def __init__(self, teams: Callable[[], Mapping[str, operator_text.Team]]) -> None:
        """Creates the rates.

        Args:
            teams: Returns the teams of the configuration in force.
        """
        self._teams = teams
        self._lock = threading.Lock()
        self._buckets: dict[str, bucket.TokenBucket] = {}

    async def take(self, team: str, now: float) -> None:
        """Spends one token; see `TeamRates`."""
        with self._lock:
            team_bucket = self._current_bucket(team, now)
            if team_bucket is None:
                raise make_rate_error(team, MAX_RETRY_AFTER_S)
            if not team_bucket.take(now):
                raise make_rate_error(team, team_bucket.wait_s(now))

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Gives a token back; see `TeamRates`."""
        with self._lock:
            team_bucket = self._current_bucket(team, now)
            if team_bucket is not None:
                team_bucket.give_back(now, taken_at)

    def _current_bucket(self, team: str, now: float) -> bucket.TokenBucket | None:
        """Returns the bucket of a team with its rate and burst in force; None if not configured."""
        team_settings = self._teams().get(team)
        if team_settings is None:
            self._buckets.pop(team, None)
            return None
        team_bucket = self._buckets.get(team)
        if team_bucket is None:
            team_bucket = bucket.TokenBucket(
                team_settings.rate, team_settings.burst, now, level=team_settings.burst
            )
            self._buckets[team] = team_bucket
        elif (team_bucket.rate, team_bucket.burst) != (team_settings.rate, team_settings.burst):
            team_bucket.resize(team_settings.rate, team_settings.burst, now)
        return team_bucket
