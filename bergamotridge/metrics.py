"""Thread-safe metrics, rendered by aioprometheus.

The counters of aioprometheus lose increments when several threads update them. Values are therefore
counted in the cells of this module, each with its own lock, and copied to the collectors of
aioprometheus when metrics are rendered.
"""

import bisect
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Generic, TypeVar

import aioprometheus
import attrs
from aioprometheus import histogram

LATENCY_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
Cell = TypeVar("Cell")
Source = TypeVar("Source")
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


@attrs.frozen
class Sample:
    """One value of a gauge with its labels."""

    value: float
    labels: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class RenderedMetrics:
    """All metrics in the format that a client asked for."""

    body: bytes
    content_type: str


class CounterCell:
    """Counter value for one set of labels."""

    __slots__ = ("_lock", "_value")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._value = 0

    @property
    def value(self) -> float:
        """Current value of the counter."""
        return self._value

    def add(self, amount: float = 1) -> None:
        """Adds `amount`, which must not be negative."""
        with self._lock:
            self._value += amount


class HistogramCell:
    """Counts per bucket and the sum of all observations, for one set of labels."""

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = tuple(bounds)
        self._lock = threading.Lock()
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    def add(self, value: float) -> None:
        """Adds one observation."""
        index = bisect.bisect_left(self._bounds, value)
        with self._lock:
            self._counts[index] += 1
            self._sum += value

    def snapshot(self) -> histogram.Histogram:
        """Returns the observations as an aioprometheus histogram, with cumulative buckets."""
        with self._lock:
            counts, total = list(self._counts), self._sum
        result = histogram.Histogram(*self._bounds)
        cumulative_count = 0
        for bound, count in zip(result.buckets, counts, strict=True):
            cumulative_count += count
            result.buckets[bound] = cumulative_count
        result.observations, result.sum = cumulative_count, total
        return result


class _CellsByLabels(Generic[Cell]):
    """Cells by their labels; a cell is created when its labels are first used."""

    def __init__(self, create_cell: Callable[[], Cell]) -> None:
        self._create_cell = create_cell
        self._lock = threading.Lock()
        self._cells: dict[tuple[tuple[str, str], ...], Cell] = {}

    def get(self, labels: Mapping[str, str]) -> Cell:
        key = tuple(sorted(labels.items()))
        cell = self._cells.get(key)
        if cell is None:
            with self._lock:
                cell = self._cells.setdefault(key, self._create_cell())
        return cell

    def items(self) -> list[tuple[dict[str, str], Cell]]:
        with self._lock:
            return [(dict(key), cell) for key, cell in self._cells.items()]


def _escape_labels(labels: Mapping[str, str]) -> dict[str, str]:
    return {name: str(value).translate(_ESCAPES) for name, value in labels.items()}


class Counter:
    """A counter with one cell for each set of labels."""

    def __init__(self, collector: aioprometheus.Counter) -> None:
        self._collector = collector
        self._cells = _CellsByLabels(CounterCell)

    def labelled(self, **labels: str) -> CounterCell:
        """Returns the cell for these labels; keep it on hot paths to save the lookup."""
        return self._cells.get(labels)

    def add(self, amount: float = 1, **labels: str) -> None:
        """Adds `amount`, which must not be negative, to the cell for these labels."""
        self._cells.get(labels).add(amount)

    def collect(self) -> None:
        """Copies the values of all cells to the collector."""
        for labels, cell in self._cells.items():
            self._collector.set(_escape_labels(labels), cell.value)


class Histogram:
    """A histogram with one cell for each set of labels."""

    def __init__(self, collector: aioprometheus.Histogram, bounds: Sequence[float]) -> None:
        self._collector = collector
        self._cells = _CellsByLabels(lambda: HistogramCell(bounds))

    def labelled(self, **labels: str) -> HistogramCell:
        """Returns the cell for these labels; keep it on hot paths to save the lookup."""
        return self._cells.get(labels)

    def add(self, value: float, **labels: str) -> None:
        """Adds one observation to the cell for these labels."""
        self._cells.get(labels).add(value)

    def collect(self) -> None:
        """Copies the observations of all cells to the collector."""
        for labels, cell in self._cells.items():
            self._collector.set_value(_escape_labels(labels), cell.snapshot())


class _Gauge:
    """A gauge whose samples are read when metrics are rendered."""

    def __init__(
        self, collector: aioprometheus.Gauge, read: Callable[[], Iterable[Sample]]
    ) -> None:
        self._collector = collector
        self._read = read

    def collect(self) -> None:
        self._collector.values.clear()
        for sample in self._read():
            self._collector.set(_escape_labels(sample.labels), sample.value)


@attrs.frozen
class MetricDescription:
    """Name, kind and help text of one metric."""

    name: str
    kind: str
    help_text: str


class Metrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._sources: list[Counter | Histogram | _Gauge] = []

    def counter(self, name: str, help_text: str) -> Counter:
        """Registers a counter; raises ValueError if the name is invalid or already registered."""
        return self._register(
            Counter(aioprometheus.Counter(name, help_text, registry=self._registry))
        )

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Registers a gauge without labels; `read` is called on each rendering."""
        self.gauges(name, help_text, lambda: (Sample(read()),))

    def gauges(self, name: str, help_text: str, read: Callable[[], Iterable[Sample]]) -> None:
        """Registers a gauge with labels; `read` is called on each rendering.

        The samples that `read` returns replace all samples of the previous rendering.
        """
        self._register(_Gauge(aioprometheus.Gauge(name, help_text, registry=self._registry), read))

    def histogram(
        self, name: str, help_text: str, bounds: Sequence[float] = LATENCY_BUCKETS_S
    ) -> Histogram:
        """Registers a histogram; `bounds` are the upper bounds of its buckets, ascending."""
        collector = aioprometheus.Histogram(name, help_text, registry=self._registry)
        return self._register(Histogram(collector, bounds))

    def describe(self) -> list[MetricDescription]:
        """Returns the descriptions of all registered metrics, sorted by name."""
        collectors = sorted(self._registry.get_all(), key=lambda collector: collector.name)
        return [MetricDescription(item.name, item.kind.name, item.doc) for item in collectors]

    def render(self, accepts: Sequence[str] = ()) -> RenderedMetrics:
        """Returns all metrics in the format that the `Accept` headers ask for, text by default."""
        with self._lock:
            for source in self._sources:
                source.collect()
            body, headers = aioprometheus.render(self._registry, tuple(accepts))
        return RenderedMetrics(body, headers["Content-Type"])

    def _register(self, source: Source) -> Source:
        with self._lock:
            self._sources.append(source)
        return source
