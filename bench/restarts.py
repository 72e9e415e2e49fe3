"""What restarted nodes serve, second by second: planned stops or kills in turn, on real processes.

The fleet is that of the soak of machines, with a fixed plan: one node after another is stopped, or
killed, and started again, and the store may be silent meanwhile. `make build` comes first.
"""

import argparse
import collections
import datetime
import json
import math
import pathlib
import re
import shutil
from collections.abc import Iterable, Iterator

import attrs

from soak.machines import __main__ as machines
from soak.machines import draw, machine, record, shape

FOLDER = pathlib.Path("out/restarts")
FIRST_STOP_S = 3.0
SILENT_BEFORE_S = 1.5  # Between the beginning of the store's silence and the first stop.
RESTART_PAUSE_S = 0.3
SHOWN_S = 12  # Seconds after a start.
LINE_S = 15  # Seconds of the fleet in a line.
OK_STATUS = 200
STYLES = ("kept", "fresh")
HELD, PROBED, PROVEN = "upstream.report-held", "upstream.report-probed", "upstream.report-proven"
INSTANCE = r"upstream '[^']*'"
CHECK_EVENTS = (HELD, PROBED, PROVEN)
STARTED, CONFIGURED = "node.started", "configuration.accepted"
EVENTS = (*CHECK_EVENTS, STARTED, CONFIGURED)


@attrs.define
class Second:
    """Requests that began in one second, and their answers."""

    sent: int = 0
    ok: int = 0
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def add(self, attempt: record.Attempt) -> None:
        """Counts one request."""
        self.sent += 1
        self.ok += attempt.status == OK_STATUS
        if attempt.status != OK_STATUS:
            self.refused[attempt.text.strip() or attempt.end] += 1

    @property
    def share(self) -> float | None:
        """Share of the requests that were answered 200, None without requests."""
        return self.ok / self.sent if self.sent else None


def make_plan(arguments: argparse.Namespace) -> draw.Plan:
    """Returns the plan: stops or kills of all machines in turn, and the silence of the store."""
    steps = []
    if arguments.silent:
        begins = FIRST_STOP_S - SILENT_BEFORE_S
        values = {"trouble": "silent", "for": arguments.silent}
        steps.append(draw.Step(begins, "store", 0, values))
    values = {
        "also": [],
        "burst": [],
        "lead": 0.0,
        "overlap": None,
        "pause": RESTART_PAUSE_S,
        "count": 1,
        "gap": 0.0,
    }
    kind = "kill" if arguments.kill else "stop"
    for index in range(arguments.hosts):
        at = FIRST_STOP_S + index * arguments.gap
        steps.append(draw.Step(at, kind, index + 1, values))
    duration_s = FIRST_STOP_S + arguments.hosts * arguments.gap + SHOWN_S
    each = arguments.clients
    clients = [(index % arguments.hosts + 1, index) for index in range(each * arguments.hosts)]
    return draw.Plan(arguments.seed, duration_s, arguments.hosts, tuple(steps), tuple(clients))


def find_starts(rows: record.Record) -> list[record.Happening]:
    """Returns the starts of nodes after the traffic began."""
    begins = next(item.at for item in rows.happenings if item.what == "traffic begins")
    return [item for item in rows.happenings if item.what == "node starts" and item.at > begins]


def count_seconds(
    attempts: Iterable[record.Attempt], since: float, machine_number: int | None = None
) -> list[Second]:
    """Counts the clients' requests by the second after a time, on one machine or on all."""
    seconds = [Second() for _ in range(SHOWN_S)]
    for attempt in attempts:
        if attempt.began is None or attempt.by.startswith("server "):
            continue
        index = int((attempt.began - since) // 1)
        if 0 <= index < SHOWN_S and machine_number in (None, attempt.machine):
            seconds[index].add(attempt)
    return seconds


def count_fleet(rows: record.Record) -> list[Second]:
    """Counts the clients' requests by the second since the traffic began, on all machines."""
    begins = next(item.at for item in rows.happenings if item.what == "traffic begins")
    seconds: dict[int, Second] = collections.defaultdict(Second)
    for attempt in rows.attempts:
        if attempt.began is not None and not attempt.by.startswith("server "):
            seconds[int(attempt.began - begins)].add(attempt)
    return [seconds[index] for index in range(max(seconds) + 1)]


def find_first_run(rows: record.Record, start: record.Happening) -> float | None:
    """Returns the seconds from a start of a node until the server beside it gets a request."""
    later = (run.at for run in rows.runs if run.machine == start.machine and run.at > start.at)
    first = min(later, default=None)
    return None if first is None else first - start.at


def read_events(log: pathlib.Path) -> Iterator[tuple[float, str, str]]:
    """Yields Unix time, kind and cause of the events in `EVENTS`, from a node's log."""
    for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
        # A node that was killed may have written half a line, and the next one goes on behind it.
        begin = line.rfind('{"time"')
        if begin >= 0 and any(f'"{kind}"' in line[begin:] for kind in EVENTS):
            item = json.loads(line[begin:])
            at = datetime.datetime.fromisoformat(item["time"]).timestamp()
            yield at, item["fields"]["event"], item["fields"].get("cause", "")


def find_delays(
    events: Iterable[tuple[float, str, str]], begin: str, end: str
) -> list[float | None]:
    """Returns the seconds from each event of a kind to the next one of another kind.

    It is None where the first kind comes again before that, or nothing comes.
    """
    delays, begun_at = [], None
    for at, kind, _ in [*events, (math.inf, begin, "")]:
        if kind == end and begun_at is not None:
            delays.append(at - begun_at)
            begun_at = None
        elif kind == begin:
            delays += [None] if begun_at is not None else []
            begun_at = at
    return delays


def _format(seconds: list[Second]) -> str:
    shares = (item.share for item in seconds)
    return " ".join("   -" if share is None else f"{share:4.2f}" for share in shares)


def _print_report(rows: record.Record, folder: pathlib.Path) -> None:
    starts = find_starts(rows)
    print("share answered 200 in each second after the start of a node")
    whole = [Second() for _ in range(SHOWN_S)]
    for start in starts:
        seconds = count_seconds(rows.attempts, start.at, start.machine)
        first = find_first_run(rows, start)
        own = "never" if first is None else f"{first:.1f}"
        print(f"  node {start.machine:2} at {start.at:5.1f}, own server after {own:>5}:", end=" ")
        print(_format(seconds))
        for total, item in zip(whole, seconds, strict=True):
            total.sent, total.ok = total.sent + item.sent, total.ok + item.ok
            total.refused += item.refused
    print(f"  all starts: {_format(whole)}")
    print("share answered 200 over the fleet, in each second of the traffic")
    fleet = count_fleet(rows)
    for begin in range(0, len(fleet), LINE_S):
        print(f"  {_format(fleet[begin : begin + LINE_S])}")
    refused = sum((item.refused for item in whole), collections.Counter())
    print(
        f"after starts: {sum(item.ok for item in whole)} of {sum(item.sent for item in whole)} ok"
    )
    for text, number in refused.most_common(8):
        print(f"  {number:6} {text}")
    _print_events([list(read_events(path)) for path in sorted(folder.glob("node-*.log"))])


def _print_events(logs: list[list[tuple[float, str, str]]]) -> None:
    kinds = collections.Counter(
        (kind, re.sub(INSTANCE, "an upstream", cause))
        for log in logs
        for _, kind, cause in log
        if kind in CHECK_EVENTS
    )
    print("reports that wait for proof")
    for (kind, cause), number in sorted(kinds.items()):
        print(f"  {number:6} {kind} {cause}")
    _print_delays("until proof", [find_delays(log, HELD, PROVEN) for log in logs])
    # The first start of each node is that of the fleet.
    configured = [find_delays(log, STARTED, CONFIGURED)[1:] for log in logs]
    _print_delays("from the start to the configuration", configured)


def _print_delays(name: str, by_node: list[list[float | None]]) -> None:
    delays = [delay for delays in by_node for delay in delays]
    known = sorted(delay for delay in delays if delay is not None)
    shown = [*(f"{delay:.2f}" for delay in known), *["?"] * (len(delays) - len(known))]
    print(f"  seconds {name}:", *shown)


def main(arguments: list[str]) -> int:
    """Runs the benchmark; returns 1 if a rule of the soak was broken."""
    parser = argparse.ArgumentParser(prog="bench.run restarts", description=__doc__)
    parser.add_argument("--shape", default="collection", help="shape of the soak of machines")
    parser.add_argument("--hosts", type=int, default=8, help="machines, 4 to 8")
    parser.add_argument("--clients", type=int, default=4, help="clients on each machine")
    parser.add_argument("--gap", type=float, default=3.0, help="seconds between two stops")
    parser.add_argument("--silent", type=float, default=0.0, help="seconds without the store")
    parser.add_argument("--kill", action="store_true", help="kill instead of stopping")
    parser.add_argument("--seed", type=int, default=1, help="of the clients")
    parser.add_argument("--tree", default=str(machine.OWN_TREE), help="work tree of the nodes")
    chosen = parser.parse_args(arguments)
    folder = FOLDER / f"seed-{chosen.seed}"
    shutil.rmtree(folder, ignore_errors=True)
    of = attrs.evolve(shape.load(chosen.shape), styles=STYLES)
    plan = make_plan(chosen)
    rows, found = machines.run_plan(plan, folder, of, pathlib.Path(chosen.tree).resolve())
    _print_report(rows, folder)
    for finding in found[:5]:
        print(finding.to_line())
    return 1 if found else 0
