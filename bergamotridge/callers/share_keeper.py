"""Keeps the quota shares of this host as the choice of holders asks, and returns them in a stop."""

import random
import threading
from collections.abc import Callable, Mapping, Sequence

import logbook

from bergamotridge import errors, malformed
from bergamotridge.callers import quota_holder, read_pauses, share_plans
from bergamotridge.operators import operator_text
from bergamotridge.store import holding
from bergamotridge.store import quota as quota_objects

SHARE_RETURN_INTERVAL_S = 0.1
RETURN_RETRY_S = 0.5
TEAMS_POLL_INTERVAL_S = 0.05

_log = logbook.Logger("quota")


class ShareKeeper:
    """Reads and writes the quota shares of this host; its methods may be called in any thread."""

    def __init__(
        self,
        planner: share_plans.SharePlanner,
        teams: Callable[[], Mapping[str, operator_text.Team]],
        timings: holding.Timings,
        clock: Callable[[], float],
        rng: random.Random,
        on_malformed: malformed.OnMalformed,
    ) -> None:
        """Has no shares before `run`.

        Args:
            planner: Decides what to do about them.
            teams: Returns the teams of the configuration in force.
            timings: Time limits of holders.
            clock: Returns boot time in seconds.
            rng: Source of randomness for pauses.
            on_malformed: Called with a report of each quota object that cannot be read.
        """
        self._holder: quota_holder.QuotaHolder | None = None
        self._planner = planner
        self._teams = teams
        self._timings = timings
        self._clock = clock
        self._rng = rng
        self._on_malformed = on_malformed
        self._teams_at_restoration: frozenset[str] = frozenset()
        self._restoration_noticed = threading.Event()
        self._leaving = threading.Event()
        self._stopping = threading.Event()
        # Set when the shares have to be looked at before the pause has ended.
        self._due = threading.Event()
        self._return_deadline = float("inf")

    def look_soon(self) -> None:
        """Ends the present pause, as this host has to join or leave a quota."""
        self._due.set()

    def handle_restoration(self) -> None:
        """Makes the shares be written again soon, as the platform's store was restored."""
        self._teams_at_restoration = frozenset(self._teams())
        self._restoration_noticed.set()
        self._due.set()

    def end(self) -> None:
        """Ends `run`; shares are still returned."""
        self._leaving.set()
        self._due.set()

    def stop(self, deadline: float) -> None:
        """Ends all but one last return.

        Args:
            deadline: Boot time in seconds after which no request to the platform begins.
        """
        self.end()
        self._return_deadline = deadline
        self._stopping.set()

    def run(self, holder: quota_holder.QuotaHolder) -> None:
        """Adjusts the shares of this host again and again until `end` is called.

        Args:
            holder: The shares.
        """
        self._holder = holder
        pauses = read_pauses.ReadPauses(self._timings.adjust_s, self._rng)
        predecessor_teams: Sequence[str] | None = None
        self._wait_for_teams()
        self._leaving.wait(pauses.first_pause_s())
        while not self._leaving.is_set():
            failed = False
            try:
                if predecessor_teams is None:
                    predecessor_teams = self._holder.find_predecessor_teams()
                self._adjust_shares(predecessor_teams)
            except errors.PlatformError as error:
                _log.warning("quota shares not adjusted: {}", error)
                failed = True
            except Exception:
                _log.exception("adjusting the quota shares failed unexpectedly and is retried")
                failed = True
            pause_s = pauses.next_pause_s(failed)
            reads_sooner = self._has_pending_change() and not failed
            self._due.wait(pauses.next_join_pause_s() if reads_sooner else pause_s)
            self._due.clear()
            if self._restoration_noticed.is_set():
                self._restoration_noticed.clear()
                self._leaving.wait(pauses.first_pause_s())

    def _wait_for_teams(self) -> None:
        """Waits for the first configuration.

        A read before it could change no share and would only delay the next read.
        """
        while not self._teams() and not self._leaving.wait(TEAMS_POLL_INTERVAL_S):
            pass

    def _has_pending_change(self) -> bool:
        """Returns whether this host still has to join or leave a quota, by the shares last read.

        True while the teams are not loaded.
        """
        teams = self._teams()
        if not teams or self._holder.has_unwritten_shares():
            return True
        shares = self._holder.shares(self._clock())
        return self._planner.has_pending_change(teams, shares)

    def _adjust_shares(self, predecessor_teams: Sequence[str]) -> None:
        now, teams, held_teams = self._clock(), self._teams(), self._holder.held_teams()
        planned = self._planner.plan(teams, held_teams, predecessor_teams, now)
        for group, plans in planned.items():
            try:
                self._holder.adjust(group, plans, self._teams_known_at_restoration(group))
            except errors.MalformedObjectError as error:
                # The teams of the other groups do not depend on it.
                self._on_malformed(malformed.MalformedEntry(quota_objects.KIND, group, error))

    def _teams_known_at_restoration(self, group: str) -> Sequence[str]:
        """Returns the teams of a group that may have had holders before the latest restoration.

        A process that has started since then may not know of some, and counts all that it knows.
        """
        names = self._teams_at_restoration or self._teams()
        return self._planner.of_group(names, group)

    def keep_returning(self) -> None:
        """Returns the shares; tries again until `stop` while the platform fails."""
        while not self.return_all() and not self._stopping.wait(RETURN_RETRY_S):
            pass

    def return_all(self) -> bool:
        """Returns shares until none is held, the platform fails, or all loans have expired.

        Returns False if the platform failed.
        """
        started_at = self._clock()
        deadline = started_at + 2.0 * self._timings.loan_s
        try:
            while self._holder is not None and self._clock() < min(deadline, self._return_deadline):
                plans = self._planner.plan_return(self._holder.held_teams())
                if not plans:
                    break
                for group, group_plans in plans.items():
                    if self._clock() < self._return_deadline:
                        known_teams = self._teams_known_at_restoration(group)
                        self._holder.adjust(group, group_plans, known_teams)
                threading.Event().wait(SHARE_RETURN_INTERVAL_S)
        except errors.PlatformError as error:
            _log.warning("quota shares not returned: {}", error)
            return False
        _log.info("return of quota shares ended after {:.3f} s", self._clock() - started_at)
        return True
