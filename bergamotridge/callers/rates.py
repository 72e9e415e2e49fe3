"""Rate and burst of teams: what the caller port asks before it admits a call."""

import threading
from collections.abc import Callable, Mapping
from typing import Protocol

from bergamotridge import errors
from bergamotridge.callers import bucket
from bergamotridge.operators import text

HIGHEST_RETRY_AFTER_S = 60.0
TOO_MANY_REQUESTS = 429


class TeamRates(Protocol):
    """Admits the calls of a team within its rate and burst."""

    async def take(self, team: str, now: float) -> None:
        """Spends one token of the team.

        Args:
            team: Name of the team in the operator's text.
            now: Monotonic time in seconds.

        Raises:
            CallError: No token is left; the verdict is NOT_RUN and `retry_after_s` is set.
        """

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Returns the token of a call that was refused as NOT_RUN.

        Args:
            team: Name of the team.
            now: Monotonic time in seconds.
            taken_at: The `now` with which the token was taken.
        """


def refusal(team: str, retry_after_s: float) -> errors.CallError:
    """Returns the error for a call beyond its team's rate and burst."""
    return errors.CallError(
        f"team '{team}' is above its rate and burst",
        status=TOO_MANY_REQUESTS,
        reason="rate",
        retry_after_s=min(retry_after_s, HIGHEST_RETRY_AFTER_S),
    )


class LocalRates:
    """Team rates of a fleet of one node; each team's bucket starts full."""

    def __init__(self, teams: Callable[[], Mapping[str, text.Team]]) -> None:
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
            tokens = self._bucket(team, now)
            if tokens is None:
                raise refusal(team, HIGHEST_RETRY_AFTER_S)
            if not tokens.take(now):
                raise refusal(team, tokens.wait_s(now))

    def give_back(self, team: str, now: float, taken_at: float) -> None:
        """Returns a token; see `TeamRates`."""
        with self._lock:
            tokens = self._bucket(team, now)
            if tokens is not None:
                tokens.give_back(now, taken_at)

    def _bucket(self, team: str, now: float) -> bucket.TokenBucket | None:
        known = self._teams().get(team)
        if known is None:
            self._buckets.pop(team, None)
            return None
        found = self._buckets.get(team)
        if found is None:
            found = bucket.TokenBucket(known.rate, known.burst, now, level=known.burst)
            self._buckets[team] = found
        elif (found.rate, found.burst) != (known.rate, known.burst):
            found.resize(known.rate, known.burst, now)
        return found
