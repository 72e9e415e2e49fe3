"""Replays recorded traces and compares the counts with the outcome files beside them.

Some traces are also replayed without the ejection of failing upstreams, the shedding thresholds and
the order of the admission queue. Their share of finished calls must then fall below its minimum;
otherwise the trace would not exercise these mechanisms.
"""

import pathlib

import pytest

from bergamotridge import call, errors
from bergamotridge.nodes import choice
from bergamotridge.operators import replay, trace
from bergamotridge.upstreams import queue, threshold

TRACES = pathlib.Path(__file__).resolve().parents[1] / "traces"
CRITICAL = call.Importance.CRITICAL


def run_replay(name):
    path = TRACES / f"{name}.jsonl"
    return replay.Replay().run(trace.parse(path.read_text("utf-8").splitlines(), path.name))


def finished_share(counts, wanted):
    matching = [count for key, count in counts.items() if wanted(*key)]
    return sum(count.finished for count in matching) / sum(count.arrived for count in matching)


def newest_entry(waiting_queue):
    return max(waiting_queue.entries(), key=lambda entry: entry.arrived_at)


def pop_oldest(waiting_queue):
    entry = min(waiting_queue.entries(), key=lambda item: item.arrived_at)
    waiting_queue.remove(entry)
    return entry


def disable_mechanisms(patch):
    patch.setattr(choice, "FAILURES_TO_EJECT", 10_000)
    patch.setattr(threshold.ThresholdController, "_assign_shares", lambda *_: None)
    patch.setattr(queue.AdmissionQueue, "pop", pop_oldest)
    patch.setattr(queue.AdmissionQueue, "_choose_eviction", lambda self, **_: newest_entry(self))


@pytest.mark.parametrize("name", sorted(path.stem for path in TRACES.glob("*.jsonl")))
def test_replay_of_a_trace_gives_the_recorded_outcome(name):
    assert replay.format_table(run_replay(name)) == (TRACES / f"{name}.outcome").read_text("utf-8")


@pytest.mark.parametrize(
    ("name", "wanted", "min_share"),
    [
        ("slowed-deep-service", lambda importance, _: importance is CRITICAL, 0.98),
        ("greedy-team", lambda importance, team: importance < 2 and team != "utrecht", 0.97),
        ("lying-upstream", lambda *_: True, 0.97),
    ],
)
def test_trace_meets_its_goal_only_with_the_mechanisms(name, wanted, min_share, monkeypatch):
    assert finished_share(run_replay(name), wanted) >= min_share
    disable_mechanisms(monkeypatch)
    assert finished_share(run_replay(name), wanted) < min_share


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{", "line 1"),
        ('{"kind": "call", "at": 0}', "accepted: announcement, fault, arrival"),
        ('{"kind": "fault", "at": 0, "host": "a", "slow": 2}', "extra fields"),
    ],
)
def test_error_names_the_file_and_line_of_an_invalid_event(line, message):
    with pytest.raises(errors.SettingsError, match=r"t\.jsonl") as caught:
        trace.parse([line], "t.jsonl")
    assert message in str(caught.value)
