"""The metrics of a node, all in one place."""

import collections
import os
import resource
from collections.abc import Callable, Iterable

import attrs

from bergamotridge import events, metrics, verdict
from bergamotridge.operators import kinds, status

PREFIX = "bergamotridge_"
_MEMORY_PATH = "/proc/self/statm"
_NO_REASON = "none"


def _cpu_seconds() -> float:
    times = os.times()
    return times.user + times.system


def _resident_bytes() -> float:
    try:
        with open(_MEMORY_PATH, encoding="ascii") as source:
            return int(source.read().split()[1]) * resource.getpagesize()
    except OSError:
        return float("nan")


@attrs.frozen
class _AnswerCells:
    """Where answers with the same labels are counted."""

    answers: metrics.CounterCell
    latency: metrics.HistogramCell


class NodeMetrics:
    """Registers the metrics of a node and takes in what is counted.

    `count_event` is a listener for the node's event log.
    """

    def __init__(self, registry: metrics.Metrics, read: Callable[[], status.Status]) -> None:
        """Registers all metrics.

        Args:
            registry: Where they are registered.
            read: Gives the status that the gauges show.
        """
        self._read = read
        self._answers = registry.counter(
            f"{PREFIX}answers_total",
            "Answers to callers, by team, class of importance, reason and verdict; reason none "
            "is an answer of an upstream.",
        )
        self._latency = registry.histogram(
            f"{PREFIX}answer_seconds", "Time from a caller's call to its answer, by importance."
        )
        self._events = registry.counter(
            f"{PREFIX}events_total", "Events, by kind, and by cause for those of calls."
        )
        self._answer_cells: dict[tuple[str, str, str, verdict.Verdict], _AnswerCells] = {}
        self._event_cells: dict[tuple[str, str], metrics.CounterCell] = {}
        self._register_gauges(registry)

    def count_answer(
        self,
        team: str,
        importance: str,
        reason: str,
        outcome: verdict.Verdict,
        seconds: float,
    ) -> None:
        """Counts one answer to a caller.

        Args:
            team: Team of the call, "" if it has none.
            importance: Name of its class of importance, "" if it matched no route.
            reason: Why it was refused or failed, "" if an upstream answered.
            outcome: Its verdict.
            seconds: Time that it took.
        """
        key = (team, importance, reason, outcome)
        cells = self._answer_cells.get(key)
        if cells is None:
            cells = self._answer_cells[key] = self._bind(*key)
        cells.answers.add()
        cells.latency.add(seconds)

    def count_event(self, event: events.Event) -> None:
        """Counts one event, by its cause only where causes are fixed words."""
        cause = event.cause if event.kind.startswith(kinds.OF_CALLS) else ""
        key = (event.kind, cause)
        cell = self._event_cells.get(key)
        if cell is None:
            cell = self._event_cells[key] = self._events.labelled(kind=event.kind, cause=cause)
        cell.add()

    def _bind(
        self, team: str, importance: str, reason: str, outcome: verdict.Verdict
    ) -> _AnswerCells:
        answers = self._answers.labelled(
            team=team,
            importance=importance,
            reason=reason or _NO_REASON,
            verdict=outcome.value,
        )
        return _AnswerCells(answers, self._latency.labelled(importance=importance))

    def _register_gauges(self, registry: metrics.Metrics) -> None:
        read = self._read
        plain: tuple[tuple[str, str, Callable[[], float]], ...] = (
            ("calls_running", "Calls at the local upstream.", lambda: read().load.running),
            ("calls_waiting", "Calls that wait for it.", lambda: read().load.waiting),
            ("calls_limit", "Calls that it is given at once.", lambda: read().load.limit),
            (
                "configuration_version",
                "Version of the operator's text in force, 0 before the first.",
                lambda: read().configuration_version,
            ),
            ("withdrawn_keys", "Withdrawn keys known here.", lambda: read().withdrawn_keys),
            ("uptime_seconds", "Time since the start.", lambda: read().uptime_s),
            ("cpu_seconds", "Processor time of this process.", _cpu_seconds),
            ("resident_memory_bytes", "Resident memory of this process.", _resident_bytes),
        )
        for name, help_text, value in plain:
            registry.gauge(PREFIX + name, help_text, value)
        registry.gauges(f"{PREFIX}members", "Known hosts, by state.", self._members)
        registry.gauges(
            f"{PREFIX}team_tokens",
            "Calls of a team that may be admitted here at once.",
            self._tokens,
        )
        registry.gauges(
            f"{PREFIX}team_held_rate",
            "Part of a team's rate that this node holds, in calls per second.",
            self._held_rates,
        )

    def _members(self) -> Iterable[metrics.Sample]:
        states = collections.Counter(member.state for member in self._read().members)
        return [metrics.Sample(count, {"state": state}) for state, count in states.items()]

    def _tokens(self) -> Iterable[metrics.Sample]:
        return [metrics.Sample(team.tokens, {"team": team.team}) for team in self._read().teams]

    def _held_rates(self) -> Iterable[metrics.Sample]:
        return [metrics.Sample(team.held_rate, {"team": team.team}) for team in self._read().teams]
