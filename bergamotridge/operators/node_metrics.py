"""The metrics of a node; all of them are declared here."""

import os
import resource
import time
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import TypeVar

import attrs

from bergamotridge import events, metrics, verdict
from bergamotridge.operators import event_kinds, status, status_gauges
from bergamotridge.util import connection_table, held_bytes

METRIC_PREFIX = "bergamotridge_"
_STATM_PATH = "/proc/self/statm"
_NO_REASON = "none"
_Value = TypeVar("_Value")


def _read_cpu_s() -> float:
    times = os.times()
    return times.user + times.system


def _read_resident_bytes() -> float:
    try:
        with open(_STATM_PATH, encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except OSError:
        return float("nan")


def _by_host(values: Mapping[str, float]) -> list[metrics.Sample]:
    return [metrics.Sample(round(value, 3), {"host": host}) for host, value in values.items()]


@attrs.frozen
class _AnswerCells:
    """Metric cells of the answers that share one set of labels."""

    answers: metrics.CounterCell
    latency: metrics.HistogramCell


class NodeMetrics:
    """Registers the metrics of a node and counts its answers and events.

    `count_event` is a listener for the node's event log.
    """

    def __init__(self, registry: metrics.Metrics, read_status: Callable[[], status.Status]) -> None:
        """Registers all metrics.

        Args:
            registry: Registry that receives the metrics.
            read_status: Returns the status whose values the gauges show.
        """
        self._read_status = read_status
        self._answers = registry.counter(
            f"{METRIC_PREFIX}answers_total",
            "Answers to callers, by team, class of importance, reason and verdict; reason none "
            "means an answer of an upstream.",
        )
        self._latency = registry.histogram(
            f"{METRIC_PREFIX}answer_seconds",
            "Time from a caller's call to its answer, by importance.",
        )
        self._events = registry.counter(
            f"{METRIC_PREFIX}events_total", "Events, by kind; events of calls also by cause."
        )
        self._platform_requests = registry.counter(
            f"{METRIC_PREFIX}platform_requests_total",
            "Requests to the platform's object store, by kind of object, operation and result.",
        )
        self._control_bytes = registry.counter(
            f"{METRIC_PREFIX}control_bytes_total",
            "Bytes of control messages between nodes, by message and direction, without those of "
            "the transport.",
        )
        self._malformed_entries = registry.counter(
            f"{METRIC_PREFIX}malformed_entries_total",
            "Entries of other processes that could not be read and were skipped, by source.",
        )
        self._upstream_calls = registry.counter(
            f"{METRIC_PREFIX}upstream_calls_total", "Calls that were sent to the local upstream."
        ).labelled()
        self._held_upstreams = registry.counter(
            f"{METRIC_PREFIX}upstream_reports_held_total",
            "Starts of the local upstream whose reports were held back, as they may have been sent "
            "before it left.",
        ).labelled()
        self._crashes = registry.counter(
            f"{METRIC_PREFIX}upstream_crashes_total",
            "Crashes of the local upstream with calls under way.",
        ).labelled()
        self._suspect_calls = registry.counter(
            f"{METRIC_PREFIX}suspect_calls_total",
            "Calls for the local upstream under whose like upstreams have crashed, by decision: "
            "trial, revoked while it ran, or the reason for which they were held back.",
        )
        self._turned_away = registry.counter(
            f"{METRIC_PREFIX}connections_turned_away_total",
            "Connections refused, or closed before a call was taken from them, by port and "
            "cause: full, idle, head or reader (as the port had all connections that it may have), "
            "input-STATUS (as what came could not be read, or not in time), request-memory (there "
            "was no room for a request), stalled (the client took nothing more of its "
            "response), no-room (it took its response most slowly, and there was no room for all), "
            "or unanswered (the node ended it though a request had been read from it).",
        )
        self._input_turns = registry.counter(
            f"{METRIC_PREFIX}input_turns_total",
            "Parts of the input of connections that were parsed later than they came, so that "
            "others were served first, by port: bodies in very small chunks, for example.",
        )
        self._pipelined_waits = registry.histogram(
            f"{METRIC_PREFIX}pipelined_wait_seconds",
            "Time for which responses to pipelined calls were ready and waited for an earlier one "
            "of their connection.",
        ).labelled()
        self._choices = registry.counter(
            f"{METRIC_PREFIX}upstream_choices_total",
            "Calls for which an upstream was chosen, by its distance: own-host, own-domain (another"
            " host of the failure domain) or other-domain.",
        )
        self._choice_cells: dict[str, metrics.CounterCell] = {}
        self._read_slowness: Callable[[float], Mapping[str, float]] = lambda now: {}
        self._read_acceptance: Callable[[float], Mapping[str, float]] = lambda now: {}
        self._answer_cells: dict[tuple[str, str, str, verdict.Verdict], _AnswerCells] = {}
        self._event_cells: dict[tuple[str, str], metrics.CounterCell] = {}
        self._ports: dict[str, connection_table.ConnectionTable] = {}
        self._memory = held_bytes.HeldBytes()
        self._read_oldest_call_s: Callable[[float], float] = lambda now: 0.0
        self._read_evacuated: Callable[[], Collection[str]] = tuple
        self._read_cold_rate: Callable[[], float] = lambda: 0.0
        self._register_gauges(registry)

    def count_answer(
        self,
        team: str,
        importance: str,
        reason: str,
        answer_verdict: verdict.Verdict,
        duration_s: float,
    ) -> None:
        """Counts one answer to a caller.

        Args:
            team: Team of the call, "" if it has none.
            importance: Name of the call's importance, "" if it matched no route.
            reason: Reason of the refusal or failure, "" if an upstream answered.
            answer_verdict: Verdict of the answer.
            duration_s: Time from the caller's call to its answer, in seconds.
        """
        key = (team, importance, reason, answer_verdict)
        cells = self._answer_cells.get(key)
        if cells is None:
            cells = self._answer_cells[key] = self._create_answer_cells(*key)
        cells.answers.add()
        cells.latency.add(duration_s)

    def count_event(self, event: events.Event) -> None:
        """Counts one event, by cause only if it is of a call: other causes are free text."""
        cause = event.cause if event.kind.startswith(event_kinds.CALL_KIND_PREFIXES) else ""
        key = (event.kind, cause)
        cell = self._event_cells.get(key)
        if cell is None:
            cell = self._event_cells[key] = self._events.labelled(kind=event.kind, cause=cause)
        cell.add()

    def count_turned_away(self, port: str, cause: str) -> None:
        """Counts one connection that a port has turned away."""
        self._turned_away.add(port=port, cause=cause)

    def count_input_turn(self, port: str) -> None:
        """Counts a part of the input of a port that is parsed later than it came."""
        self._input_turns.add(port=port)

    def count_pipelined_wait(self, wait_s: float) -> None:
        """Counts a response that was ready before its turn, and the seconds it waited for it."""
        self._pipelined_waits.add(wait_s)

    def watch_port(self, port: str, connections: connection_table.ConnectionTable) -> None:
        """Reports the connections of a port from now on."""
        self._ports[port] = connections

    def watch_calls(self, read_oldest_age_s: Callable[[float], float]) -> None:
        """Reports the age of the oldest call of a caller from now on.

        Args:
            read_oldest_age_s: Takes the monotonic time, and returns the age in seconds.
        """
        self._read_oldest_call_s = read_oldest_age_s

    def watch_cold_rate(self, read: Callable[[], float]) -> None:
        """Reports the bound on calls to a cold upstream from now on."""
        self._read_cold_rate = read

    def watch_evacuations(self, read: Callable[[], Collection[str]]) -> None:
        """Reports the evacuated failure domains from now on."""
        self._read_evacuated = read

    def watch_memory(self, memory: held_bytes.HeldBytes) -> None:
        """Reports the bytes that the node holds for others from now on."""
        self._memory = memory

    def count_platform_request(self, kind: str, operation: str, result: str) -> None:
        """Counts one request to the platform; see `store.counted`."""
        self._platform_requests.add(kind=kind, operation=operation, result=result)

    def count_upstream_call(self) -> None:
        """Counts a call that is sent to the local upstream."""
        self._upstream_calls.add()

    def count_malformed_entry(self, source: str) -> None:
        """Counts an entry that was skipped; see `malformed.MalformedEntry`."""
        self._malformed_entries.add(source=source)

    def count_choice(self, distance: str) -> None:
        """Counts a call for which an upstream at a distance was chosen; see `choice.Distance`."""
        cell = self._choice_cells.get(distance)
        if cell is None:
            cell = self._choice_cells[distance] = self._choices.labelled(distance=distance)
        cell.add()

    def watch_slowness(self, read_by_host: Callable[[float], Mapping[str, float]]) -> None:
        """Reports the learned slowness of upstreams from now on.

        Args:
            read_by_host: Takes the monotonic time, and returns the slowness by host.
        """
        self._read_slowness = read_by_host

    def watch_acceptance(self, read_by_host: Callable[[float], Mapping[str, float]]) -> None:
        """Reports the fraction of calls that upstreams accept from now on.

        Args:
            read_by_host: Takes the monotonic time, and returns the fraction by host.
        """
        self._read_acceptance = read_by_host

    def count_held_upstream(self) -> None:
        """Counts a start of the upstream whose reports are held back."""
        self._held_upstreams.add()

    def count_crash(self) -> None:
        """Counts a crash of the local upstream."""
        self._crashes.add()

    def count_suspect_call(self, decision: str) -> None:
        """Counts a call under whose like upstreams have crashed, by what was decided."""
        self._suspect_calls.add(decision=decision)

    def count_control_bytes(self, message: str, sent: int, received: int) -> None:
        """Counts the bytes of one control message and its answer, by name of the message."""
        self._control_bytes.add(sent, message=message, direction="sent")
        self._control_bytes.add(received, message=message, direction="received")

    def _create_answer_cells(
        self, team: str, importance: str, reason: str, answer_verdict: verdict.Verdict
    ) -> _AnswerCells:
        answers = self._answers.labelled(
            team=team,
            importance=importance,
            reason=reason or _NO_REASON,
            verdict=answer_verdict.value,
        )
        return _AnswerCells(answers, self._latency.labelled(importance=importance))

    def _register_status_gauges(self, registry: metrics.Metrics) -> None:
        def reader(read: Callable[[status.Status], _Value]) -> Callable[[], _Value]:
            return lambda: read(self._read_status())

        for scalar in status_gauges.SCALARS:
            registry.gauge(METRIC_PREFIX + scalar.name, scalar.help_text, reader(scalar.read))
        for labelled in status_gauges.LABELLED:
            registry.gauges(
                METRIC_PREFIX + labelled.name, labelled.help_text, reader(labelled.read)
            )

    def _register_gauges(self, registry: metrics.Metrics) -> None:
        self._register_status_gauges(registry)
        scalar_gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
            (
                "upstream_cold_rate",
                "Calls per second to which the local upstream is held as it is cold, 0 if it isn't "
                "held.",
                lambda: self._read_cold_rate(),
            ),
            (
                "oldest_call_seconds",
                "Time for which the oldest call of a caller has had no answer, 0 without calls.",
                lambda: self._read_oldest_call_s(time.monotonic()),
            ),
            ("cpu_seconds", "Processor time of this process.", _read_cpu_s),
            ("resident_memory_bytes", "Resident memory of this process.", _read_resident_bytes),
        )
        for name, help_text, value in scalar_gauges:
            registry.gauge(METRIC_PREFIX + name, help_text, value)
        registry.gauges(
            f"{METRIC_PREFIX}evacuated_failure_domains",
            "Evacuated failure domains that the node knows of: 1 for each, by name.",
            lambda: [metrics.Sample(1, {"domain": name}) for name in self._read_evacuated()],
        )
        registry.gauges(
            f"{METRIC_PREFIX}upstream_slowness",
            "Time of calls at an upstream over what is usual in its service, as learned by this "
            "node, by host; only with the method expected-wait.",
            lambda: _by_host(self._read_slowness(time.monotonic())),
        )
        registry.gauges(
            f"{METRIC_PREFIX}upstream_accepted_fraction",
            "Fraction of this node's calls that an upstream accepts, by host, for upstreams that "
            "have rejected calls lately; only with the method expected-wait.",
            lambda: _by_host(self._read_acceptance(time.monotonic())),
        )
        registry.gauges(
            f"{METRIC_PREFIX}connections",
            "Open connections, by port and state: busy with a request or a part of one, or idle.",
            self._connection_samples,
        )
        registry.gauges(
            f"{METRIC_PREFIX}held_bytes",
            "Bytes that the node holds for others: bodies of requests (each counts twice), answers "
            "that are being read, responses whose clients take them slowly.",
            self._held_bytes_samples,
        )
        registry.gauge(
            f"{METRIC_PREFIX}held_bytes_limit",
            "Bytes that the node may hold for others.",
            lambda: self._memory.limit_bytes,
        )
        registry.gauges(
            f"{METRIC_PREFIX}connections_limit",
            "Maximum number of open connections, by port.",
            self._connection_limit_samples,
        )

    def _connection_samples(self) -> Iterable[metrics.Sample]:
        return [
            metrics.Sample(count, {"port": port, "state": state})
            for port, table in self._ports.items()
            for state, count in (("busy", table.busy_count), ("idle", table.idle_count))
        ]

    def _held_bytes_samples(self) -> Iterable[metrics.Sample]:
        return [
            metrics.Sample(size, {"kind": kind.value})
            for kind, size in self._memory.count_by_kind().items()
        ]

    def _connection_limit_samples(self) -> Iterable[metrics.Sample]:
        return [metrics.Sample(table.limit, {"port": port}) for port, table in self._ports.items()]
