"""What the holders of a fleet ask of the platform: in quiet, with moving demand, after outages.

Virtual time, real decisions and pauses; all holders of several teams at the size of the fleet.
"""

import collections
import random

from bench import quota_refusals
from bergamotridge.callers import quota_rates
from bergamotridge.operators import operator_text
from bergamotridge.store import holding
from tests import quota_fleet

TEAMS = 8
FLEETS = ((2, 1), (4, 2), (8, 2))  # Failure domains, holders of a team in each.
STEP_S = 0.5
QUIET_S = 120.0
OUTAGE_S = 300.0
RETURN_S = 60.0


class TeamHolders:
    """The holders of one team, their pauses, and when they ask the platform."""

    def __init__(self, domains: int, per_domain: int, seed: int) -> None:
        team = operator_text.Team(f"team-{seed}", rate=1000.0, burst=1000)
        self._rng = random.Random(seed)
        self._timings = holding.Timings()
        self.fleet = quota_fleet.Fleet(
            domains, per_domain, team, timings=self._timings, per_domain=per_domain
        )
        self.reads: collections.Counter[int] = collections.Counter()
        self.writes: collections.Counter[int] = collections.Counter()
        self._pauses = {
            host: quota_rates.ReadPauses(self._timings.adjust_s, self._rng)
            for host in self.fleet.processes
        }
        start = self.fleet.now
        self._due = {host: start + pauses.first_pause_s() for host, pauses in self._pauses.items()}

    def advance(self, seconds: float, hot: float, outage: bool) -> None:
        """Lets time pass under a demand that moves with weight `hot`."""
        end = self.fleet.now + seconds
        hosts = list(self.fleet.processes)
        while self.fleet.now < end:
            self.fleet.now += STEP_S
            favourite = hosts[int(self.fleet.now / quota_refusals.MOVE_S) % len(hosts)]
            for _ in range(int(STEP_S * 40)):
                chosen = favourite if self._rng.random() < hot else self._rng.choice(hosts)
                self.fleet.call(chosen)
            for host, process in self.fleet.processes.items():
                process.client.faults.outage = outage
                if self._due[host] <= self.fleet.now:
                    self._adjust(host)
                    self._due[host] += self._pauses[host].next_pause_s(outage)

    def _adjust(self, host: str) -> None:
        client = self.fleet.processes[host].client
        reads, writes = client.reads, client.writes
        self.fleet.adjust(host, look=False)
        second = int(self.fleet.now)
        self.reads[second] += client.reads - reads
        self.writes[second] += client.writes - writes


def _rates_of(teams: list[TeamHolders], start: float, seconds: float) -> str:
    span = range(int(start), int(start + seconds))
    reads = [sum(team.reads[second] for team in teams) for second in span]
    writes = [sum(team.writes[second] for team in teams) for second in span]
    return (
        f"reads/s {sum(reads) / len(reads):7.2f} (worst second {max(reads):4d})   "
        f"writes/s {sum(writes) / len(writes):6.2f} (worst second {max(writes):4d})"
    )


def run() -> None:
    """Prints reads and writes per second of all holders."""
    print(f"platform calls of all holders of {TEAMS} teams")
    for domains, per_domain in FLEETS:
        teams = [TeamHolders(domains, per_domain, seed) for seed in range(TEAMS)]
        label = f"{domains * per_domain * TEAMS:4d} holders"
        start = teams[0].fleet.now
        for name, seconds, hot, outage in (
            ("start, 20 s", 20.0, 0.0, False),
            ("even demand", QUIET_S, 0.0, False),
            ("moving demand", QUIET_S, 0.7, False),
            ("outage", OUTAGE_S, 0.7, True),
            ("return", RETURN_S, 0.7, False),
        ):
            for team in teams:
                team.advance(seconds, hot, outage)
            print(f"{label} {name:14} {_rates_of(teams, start, seconds)}")
            start += seconds
