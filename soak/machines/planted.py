"""Looks for each of a list of planted faults, and prints after how many seeds the checks found it.

One row of a table for each: what is planted, how often it acted, and the findings by rule.
"""

import collections
import pathlib
import shutil

import attrs
from absl import app, flags

from soak.machines import __main__ as machines
from soak.machines import client, draw, planted_node, shape

EXIT_FAILED = 1
FOLDER = pathlib.Path("out/soak-planted")


@attrs.frozen
class Case:
    """A fault and what it breaks, in a few words."""

    breaks: str
    fault: str

    @property
    def name(self) -> str:
        """Name of the directory of its logs."""
        return self.fault.replace(":", "-").replace(" ", "-")


CASES = (
    Case("connection closed in place of an answer", "closed:callers:any:0.002"),
    Case("the same, very rare", "closed:callers:any:0.001"),
    Case("connection reset in place of an answer", "reset:callers:any:0.002"),
    Case("request read, not passed on, closed after the slack", "unpassed:callers:any:0.002"),
    Case("answer without its last bytes", "cut:callers:any:0.01"),
    Case("closed while the process stops", "closed:callers:stop:0.1"),
    Case("closed late in a stop", "closed:callers:late stop:0.3"),
    Case("closed beside SIGHUP", "closed:callers:reload:0.05"),
    Case("closed beside a configuration", "closed:callers:configuration:0.05"),
    Case("closed on a reused connection", "closed:callers:reused:0.005"),
    Case("closed if the request came in pieces", "closed:callers:pieces:0.02"),
    *(
        Case(
            f"{status} of the node's own while the server was at work", f"{status}:callers:stop:0.1"
        )
        for status in planted_node.STATUSES
    ),
    Case("no answer ever", "never:callers:any:0.005"),
    Case("no answer ever, very rare", "never:callers:any:0.001"),
    Case("no answer ever, in a stop", "never:callers:stop:0.1"),
    Case("answers long after the timeout", "late:callers:any:0.3"),
    Case("another body", "wrong:callers:any:0.005"),
    Case("relayed call: connection closed", "closed:relay:any:0.01"),
    Case("relayed call: connection reset", "reset:relay:any:0.01"),
    Case("relayed call: answer without its last bytes", "cut:relay:any:0.02"),
    Case("relayed call: no answer ever", "never:relay:any:0.01"),
    Case("relayed call: not-run after a run", "503:relay:any:0.01"),
    Case("relayed call: 502 after a run", "502:relay:any:0.01"),
    Case("relayed call: another body", "wrong:relay:any:0.01"),
    Case("answer of the upstream dropped", "dropped:upstream:any:0.005"),
    Case("answer of the upstream without its last bytes", "cut:upstream:any:0.01"),
    Case("answer of the upstream never taken", "never:upstream:any:0.01"),
)


def look_for(case: Case, of: shape.Shape) -> bool:
    """Plays seeds until one has findings; prints a row and returns True if one had."""
    values, acted = flags.FLAGS, 0
    rules: collections.Counter[str] = collections.Counter()
    folder = FOLDER / case.name
    for number in range(1, values.seeds + 1):
        shutil.rmtree(folder, ignore_errors=True)
        seed, duration_s = values.seed + number - 1, values.minutes * machines.S_PER_MINUTE
        plan = draw.draw_plan(
            seed, duration_s, values.hosts, len(client.STYLES), of.clients, values.step
        )
        _, found = machines.run_plan(plan, folder, of, planted=case.fault)
        acted += machines.count_planted(folder)
        rules.update(finding.rule for finding in found)
        if rules:
            break
    result = ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items())) or "not found"
    print(f"| {case.breaks} | `{case.fault}` | {acted} | {number} | {result} |", flush=True)
    return bool(rules)


def main(_: list[str]) -> int:
    """Looks for all faults, or for those whose name begins as asked."""
    values = flags.FLAGS
    chosen = [case for case in CASES if case.fault.startswith(tuple(values.only or [""]))]
    of = shape.load(values.shape)
    missed = [case.fault for case in chosen if not look_for(case, of)]
    print(f"{len(chosen)} faults, {len(missed)} not found: {missed}")
    return EXIT_FAILED if missed else 0


if __name__ == "__main__":
    machines.define_flags()
    flags.DEFINE_list("only", [], "beginnings of faults, all if empty")
    app.run(main)
