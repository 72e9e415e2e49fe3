"""Looks for each of a list of planted faults, and prints after how many seeds the checks found it.

One row of a table for each: what is planted, how often it acted, after how many seeds a request on
which it acted was found, and the findings on such requests by rule. What else was found is named
apart, and makes no fault found.
"""

import collections
import pathlib
import re
import shutil

import attrs
from absl import app, flags

from soak.machines import __main__ as machines
from soak.machines import client, draw, planted_node, shape

EXIT_FAILED = 1
FOLDER = pathlib.Path("out/soak-planted")


@attrs.frozen
class Case:
    """A fault and what it breaks, in a few words; `steps` are what it needs, all if empty."""

    breaks: str
    fault: str
    steps: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Name of the directory of its logs."""
        return re.sub("[^a-z0-9.]", "-", self.fault)


RELOADS, CHANGES, LATE = ("reload", "stop"), ("configure", "access"), ("late",)
CASES = (
    Case("connection closed in place of an answer", "closed:callers:any:0.002"),
    Case("the same, very rare", "closed:callers:any:0.001"),
    Case("the same beside trouble of the store", "closed:callers:any:0.003", ("store",)),
    Case("connection reset in place of an answer", "reset:callers:any:0.002"),
    Case("request read, not passed on, closed after the slack", "unpassed closed:callers:any:0.01"),
    Case("request read, not passed on, reset after the slack", "unpassed reset:callers:any:0.01"),
    Case("the same in a stop", "unpassed closed:callers:stop:0.1"),
    Case("answer without its last bytes", "cut:callers:any:0.01"),
    Case("closed while the process stops", "closed:callers:stop:0.1"),
    Case("reset while the process stops", "reset:callers:stop:0.1"),
    Case("closed late in a stop", "closed:callers:late stop:0.3"),
    Case("closed late in a stop, sent late", "closed:callers:late stop:0.1", LATE),
    Case("the process ends with requests unanswered", "exit:callers:stop:0.05"),
    Case("the same late in a stop", "exit:callers:late stop:0.3"),
    Case("closed beside SIGHUP", "closed:callers:reload:0.3", RELOADS),
    Case("closed beside a configuration", "closed:callers:configuration:0.05", CHANGES),
    Case("closed on a reused connection", "closed:callers:reused:0.005"),
    Case("closed if the request came in pieces", "closed:callers:pieces:0.02"),
    Case("closed while the server works", "early closed:callers:any:0.005"),
    Case("reset while the server works", "early reset:callers:any:0.005"),
    Case("503 while the server works, in a stop", "early 503:callers:stop:0.1"),
    Case("504 while the server works, in a stop", "early 504:callers:stop:0.1"),
    *(
        Case(f"{status} of the node's own after a run, in a stop", f"{status}:callers:stop:0.1")
        for status in planted_node.STATUSES
    ),
    Case("503 of the node's own with the server's seal", "sealed:callers:any:0.01"),
    Case("no answer ever", "never:callers:any:0.005"),
    Case("no answer ever, very rare", "never:callers:any:0.001"),
    Case("no answer ever, in a stop", "never:callers:stop:0.1"),
    Case("an answer of which the end never comes", "stalled:callers:any:0.01"),
    Case("answers long after the timeout", "late:callers:any:0.3"),
    Case("another body", "wrong:callers:any:0.005"),
    Case("relayed call: connection closed", "closed:relay:any:0.01"),
    Case("relayed call: connection reset", "reset:relay:any:0.01"),
    Case("relayed call: answer without its last bytes", "cut:relay:any:0.02"),
    Case("relayed call: no answer ever", "never:relay:any:0.01"),
    Case("relayed call: not-run after a run", "503:relay:any:0.01"),
    Case("relayed call: 502 after a run", "502:relay:any:0.01"),
    Case("relayed call: closed while the server works", "early closed:relay:any:0.01"),
    Case("relayed call: another body", "wrong:relay:any:0.01"),
    Case("answer of the upstream dropped", "dropped:upstream:any:0.005"),
    Case("answer of the upstream without its last bytes", "cut:upstream:any:0.01"),
    Case("answer of the upstream never taken", "never:upstream:any:0.01"),
    Case("answer of the upstream taken long after the timeout", "late:upstream:any:0.3"),
    Case("answer of the upstream with another body", "wrong:upstream:any:0.005"),
    Case("answer of the upstream with another status", "503:upstream:any:0.01"),
    Case("the same with a status that promises nothing", "502:upstream:any:0.01"),
)


def look_for(case: Case, of: shape.Shape) -> bool:
    """Plays seeds until the fault is found; prints a row and returns True if it was."""
    values, acted = flags.FLAGS, 0
    rules: collections.Counter[str] = collections.Counter()
    others: collections.Counter[str] = collections.Counter()
    folder = FOLDER / case.name
    for number in range(1, values.seeds + 1):
        shutil.rmtree(folder, ignore_errors=True)
        seed, duration_s = values.seed + number - 1, values.minutes * machines.S_PER_MINUTE
        plan = draw.draw_plan(
            seed, duration_s, values.hosts, len(client.STYLES), of.clients,
            case.steps or values.step,
        )  # fmt: skip
        _, found = machines.run_plan(plan, folder, of, planted=case.fault)
        named = machines.list_planted(folder)
        acted += len(named)
        for finding in found:
            is_planted = any(request_id in finding.text for request_id in named if request_id)
            (rules if is_planted else others)[finding.rule] += 1
        if rules:
            break
    result = _list(rules) or "not found"
    result += f" (other findings: {_list(others)})" if others else ""
    steps = f", steps {' and '.join(case.steps)}" if case.steps else ""
    print(f"| {case.breaks}{steps} | `{case.fault}` | {acted} | {number} | {result} |", flush=True)
    return bool(rules)


def _list(rules: collections.Counter[str]) -> str:
    return ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items()))


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
