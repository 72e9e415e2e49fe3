"""Recorded traces replayed against the outcomes stated beside them."""

import pathlib

import pytest

from bergamotridge import call, errors
from bergamotridge.nodes import choice
from bergamotridge.operators import replay, trace
from bergamotridge.upstreams import queue, threshold

TRACES = pathlib.Path(__file__).resolve().parents[1] / "traces"
CRITICAL = call.Importance.CRITICAL


def replayed(name):
    path = TRACES / f"{name}.jsonl"
    return replay.Replay().run(trace.parse(path.read_text("utf-8").splitlines(), path.name))


def finished_share(counts, wanted):
    chosen = [count for key, count in counts.items() if wanted(*key)]
    return sum(count.finished for count in chosen) / sum(count.arrived for count in chosen)


def newest(waiting):
    return max(waiting.entries(), key=lambda entry: entry.arrived_at)


def pop_oldest(waiting):
    entry = min(waiting.entries(), key=lambda item: item.arrived_at)
    waiting.remove(entry)
    return entry


def switch_off_mechanisms(patch):
    patch.setattr(choice, "FAILURES_TO_EJECT", 10_000)
    patch.setattr(threshold.ThresholdController, "_fill", lambda *_: None)
    patch.setattr(queue.AdmissionQueue, "pop", pop_oldest)
    patch.setattr(queue.AdmissionQueue, "_last", lambda self, **_: newest(self))


@pytest.mark.parametrize("name", sorted(path.stem for path in TRACES.glob("*.jsonl")))
def test_trace_ends_as_stated(name):
    assert replay.table(replayed(name)) == (TRACES / f"{name}.outcome").read_text("utf-8")


@pytest.mark.parametrize(
    ("name", "wanted", "least"),
    [
        ("slowed-deep-service", lambda importance, _: importance is CRITICAL, 0.98),
        ("greedy-team", lambda importance, team: importance < 2 and team != "utrecht", 0.97),
        ("lying-upstream", lambda *_: True, 0.97),
    ],
)
def test_trace_shows_what_it_is_for(name, wanted, least, monkeypatch):
    assert finished_share(replayed(name), wanted) >= least
    switch_off_mechanisms(monkeypatch)
    assert finished_share(replayed(name), wanted) < least


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{", "line 1"),
        ('{"kind": "call", "at": 0}', "accepted: announcement, fault, arrival"),
        ('{"kind": "fault", "at": 0, "host": "a", "slow": 2}', "extra fields"),
    ],
)
def test_a_bad_line_is_named(line, message):
    with pytest.raises(errors.SettingsError, match=r"t\.jsonl") as caught:
        trace.parse([line], "t.jsonl")
    assert message in str(caught.value)
