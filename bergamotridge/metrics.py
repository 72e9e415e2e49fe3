"""Metrics that any thread may change, rendered by aioprometheus.

The counters of aioprometheus lose increments between threads, so that counting happens in cells
of this module, each with a lock of its own, and the collectors are filled when metrics are read.
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
    """One value of a gauge and the labels it stands under."""

    value: float
    labels: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Rendered:
    """All metrics in the form that a client asked for."""

    body: bytes
    content_type: str


class CounterCell:
    """The count for one set of labels."""

    __slots__ = ("_lock", "_value")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._value = 0

    @property
    def value(self) -> float:
        """The count so far."""
        return self._value

    def add(self, amount: float = 1) -> None:
        """Adds `amount`, which must not be negative."""
        with self._lock:
            self._value += amount


class HistogramCell:
    """Counts per bucket, and the sum, for one set of labels."""

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = tuple(bounds)
        self._lock = threading.Lock()
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    def add(self, value: float) -> None:
        """Counts one observation."""
        index = bisect.bisect_left(self._bounds, value)
        with self._lock:
            self._counts[index] += 1
            self._sum += value

    def snapshot(self) -> histogram.Histogram:
        """Returns the observations so far as aioprometheus keeps them, with cumulative buckets."""
        with self._lock:
            counts, total = list(self._counts), self._sum
        result = histogram.Histogram(*self._bounds)
        running = 0
        for bound, count in zip(result.buckets, counts, strict=True):
            running += count
            result.buckets[bound] = running
        result.observations, result.sum = running, total
        return result


class _Cells(Generic[Cell]):
    """Cells by their labels, made on first use."""

    def __init__(self, make: Callable[[], Cell]) -> None:
        self._make = make
        self._lock = threading.Lock()
        self._cells: dict[tuple[tuple[str, str], ...], Cell] = {}

    def get(self, labels: Mapping[str, str]) -> Cell:
        key = tuple(sorted(labels.items()))
        cell = self._cells.get(key)
        if cell is None:
            with self._lock:
                cell = self._cells.setdefault(key, self._make())
        return cell

    def items(self) -> list[tuple[dict[str, str], Cell]]:
        with self._lock:
            return [(dict(key), cell) for key, cell in self._cells.items()]


def _escaped(labels: Mapping[str, str]) -> dict[str, str]:
    return {name: str(value).translate(_ESCAPES) for name, value in labels.items()}


class Counter:
    """A count that only grows, kept for each set of labels."""

    def __init__(self, collector: aioprometheus.Counter) -> None:
        self._collector = collector
        self._cells = _Cells(CounterCell)

    def labelled(self, **labels: str) -> CounterCell:
        """Returns the cell for these labels; keep it where counting must cost little."""
        return self._cells.get(labels)

    def add(self, amount: float = 1, **labels: str) -> None:
        """Adds `amount`, which must not be negative, to the count for these labels."""
        self._cells.get(labels).add(amount)

    def collect(self) -> None:
        """Copies the counts to the collector."""
        for labels, cell in self._cells.items():
            self._collector.set(_escaped(labels), cell.value)


class Histogram:
    """Observations counted in buckets, kept for each set of labels."""

    def __init__(self, collector: aioprometheus.Histogram, bounds: Sequence[float]) -> None:
        self._collector = collector
        self._cells = _Cells(lambda: HistogramCell(bounds))

    def labelled(self, **labels: str) -> HistogramCell:
        """Returns the cell for these labels; keep it where counting must cost little."""
        return self._cells.get(labels)

    def add(self, value: float, **labels: str) -> None:
        """Counts one observation for these labels."""
        self._cells.get(labels).add(value)

    def collect(self) -> None:
        """Copies the observations to the collector."""
        for labels, cell in self._cells.items():
            self._collector.set_value(_escaped(labels), cell.snapshot())


class _Gauge:
    def __init__(
        self, collector: aioprometheus.Gauge, read: Callable[[], Iterable[Sample]]
    ) -> None:
        self._collector = collector
        self._read = read

    def collect(self) -> None:
        self._collector.values.clear()
        for sample in self._read():
            self._collector.set(_escaped(sample.labels), sample.value)


@attrs.frozen
class Description:
    """Name, kind and help of one metric."""

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
        """Registers a counter; raises ValueError if the name is taken or not valid."""
        return self._keep(Counter(aioprometheus.Counter(name, help_text, registry=self._registry)))

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Registers a gauge without labels, read when metrics are asked for."""
        self.gauges(name, help_text, lambda: (Sample(read()),))

    def gauges(self, name: str, help_text: str, read: Callable[[], Iterable[Sample]]) -> None:
        """Registers a gauge with labels; each reading replaces all samples of the one before."""
        self._keep(_Gauge(aioprometheus.Gauge(name, help_text, registry=self._registry), read))

    def histogram(
        self, name: str, help_text: str, bounds: Sequence[float] = LATENCY_BUCKETS_S
    ) -> Histogram:
        """Registers a histogram with the given upper bounds of its buckets, in rising order."""
        collector = aioprometheus.Histogram(name, help_text, registry=self._registry)
        return self._keep(Histogram(collector, bounds))

    def describe(self) -> list[Description]:
        """Returns what is registered, by name."""
        collectors = sorted(self._registry.get_all(), key=lambda collector: collector.name)
        return [Description(item.name, item.kind.name, item.doc) for item in collectors]

    def render(self, accepts: Sequence[str] = ()) -> Rendered:
        """Returns all metrics in the form that the `Accept` headers ask for, text by default."""
        with self._lock:
            for source in self._sources:
                source.collect()
            body, headers = aioprometheus.render(self._registry, tuple(accepts))
        return Rendered(body, headers["Content-Type"])

    def _keep(self, source: Source) -> Source:
        with self._lock:
            self._sources.append(source)
        return source
