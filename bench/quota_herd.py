"""Reads and writes of all quota holders to the platform: idle, with moving demand, after outages.

All holders of several teams run in virtual time, with the real decisions and intervals.
"""

import collections
import random

from bench import quota_refusals
from bergamotridge.callers import read_pauses
from bergamotridge.operators import operator_text
from bergamotridge.store import holding
from tests import quota_fleet

TEAMS = 8
FLEET_SIZES = ((2, 1), (4, 2), (8, 2))  # Failure domains, holders of a team in each.
STEP_S = 0.5
DEMAND_PHASE_S = 120.0
OUTAGE_S = 300.0
RECOVERY_S = 60.0


class TeamSimulation:
    """The quota holders of one team, which read and write their shares at intervals.

    Attributes:
        fleet: The holders and drawing nodes.
        reads: Number of reads from the platform in each second of virtual time.
        writes: Number of writes to the platform in each second of virtual time.
    """

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
            host: read_pauses.ReadPauses(self._timings.adjust_s, self._rng)
            for host in self.fleet.processes
        }
        start = self.fleet.now
        self._due = {host: start + pauses.first_pause_s() for host, pauses in self._pauses.items()}

    def advance(self, duration_s: float, hotspot_fraction: float, outage: bool) -> None:
        """Advances virtual time under a demand that moves from host to host.

        Args:
            duration_s: Seconds to advance.
            hotspot_fraction: Fraction of the calls sent to one host, which changes every
                `quota_refusals.HOTSPOT_INTERVAL_S`; the others go to random hosts.
            outage: True if the platform is down.
        """
        end = self.fleet.now + duration_s
        hosts = list(self.fleet.processes)
        while self.fleet.now < end:
            self.fleet.now += STEP_S
            hotspot_host = hosts[
                int(self.fleet.now / quota_refusals.HOTSPOT_INTERVAL_S) % len(hosts)
            ]
            for _ in range(int(STEP_S * 40)):
                chosen = (
                    hotspot_host
                    if self._rng.random() < hotspot_fraction
                    else self._rng.choice(hosts)
                )
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


def _format_rates(teams: list[TeamSimulation], start: float, duration_s: float) -> str:
    span = range(int(start), int(start + duration_s))
    reads = [sum(team.reads[second] for team in teams) for second in span]
    writes = [sum(team.writes[second] for team in teams) for second in span]
    return (
        f"reads/s {sum(reads) / len(reads):7.2f} (worst second {max(reads):4d})   "
        f"writes/s {sum(writes) / len(writes):6.2f} (worst second {max(writes):4d})"
    )


def run() -> None:
    """Prints reads and writes per second of all holders."""
    print(f"platform calls of all holders of {TEAMS} teams")
    for domains, per_domain in FLEET_SIZES:
        teams = [TeamSimulation(domains, per_domain, seed) for seed in range(TEAMS)]
        label = f"{domains * per_domain * TEAMS:4d} holders"
        start = teams[0].fleet.now
        for name, duration_s, hotspot_fraction, outage in (
            ("start, 20 s", 20.0, 0.0, False),
            ("even demand", DEMAND_PHASE_S, 0.0, False),
            ("moving demand", DEMAND_PHASE_S, 0.7, False),
            ("outage", OUTAGE_S, 0.7, True),
            ("return", RECOVERY_S, 0.7, False),
        ):
            for team in teams:
                team.advance(duration_s, hotspot_fraction, outage)
            print(f"{label} {name:14} {_format_rates(teams, start, duration_s)}")
            start += duration_s
