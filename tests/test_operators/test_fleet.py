"""Search of the fleet, time line, summary, explain: events in causal order, and missing nodes."""

import attrs
import pytest

from bergamotridge import errors, events
from bergamotridge.operators import explain, fleet, overview, status, summary, timeline
from bergamotridge.util import hlc

START_MS = 1_796_364_000_000


def member(host, address):
    return status.Member(host, 1, "utrecht", "booking", "ready", 0.5, address)


def event(offset_ms, host, kind, request_id="", cause="", **detail):
    stamp = hlc.Stamp(START_MS + offset_ms, 0, host)
    return events.Event(stamp, host, 1, "utrecht", kind, request_id, cause, detail)


@attrs.define
class Node:
    host: str
    members: tuple = ()
    ring: tuple = ()
    version: int = 3
    ring_fails: bool = False

    def status(self):
        load = status.Load(2, 1, 8.4)
        return status.Status(
            self.host, 1, "utrecht", 61.2, self.version, 0, "booking", "ready", load, self.members
        )

    def events(self, request_id="", since=""):
        if self.ring_fails:
            raise errors.OperatorPortError("cut off")
        return [item for item in self.ring if request_id in ("", item.request_id)]


@attrs.frozen
class UnreachableNode:
    address: str

    def status(self):
        raise errors.OperatorPortError(f"node at '{self.address}': refused")


@pytest.fixture
def connect():
    nodes = {
        "a": Node("h1", (member("h2", "b"), member("h4", "d"), member("h5", "")), ring=H1_EVENTS),
        "b": Node("h2", (member("h3", "c"),), H2_EVENTS, version=4),
        "c": Node("h3", ring_fails=True),
    }
    return lambda address: nodes.get(address) or UnreachableNode(address)


H1_EVENTS = (
    event(0, "h1", "upstream.ready", service="booking"),
    event(
        *(4, "h1", "attempt.refused", "r1", "draining"),
        **{"service": "booking", "target": "h3", "verdict": "not-run"},
    ),
    event(5, "h1", "call.retried", "r1", "draining", service="booking"),
    event(
        *(9, "h1", "call.refused", "r1", "shed"),
        **{"verdict": "not-run", "path": "/bookings", "told": "service 'booking' sheds"},
    ),
)
H2_EVENTS = (
    event(2, "h2", "upstream.lost", cause="silent"),
    event(
        *(7, "h2", "dependency.failed", "r1", "deadline"),
        **{"service": "booking", "path": "/parts", "verdict": "may-have-run"},
    ),
    event(8, "h2", "call.other", "r1", "new-reason", service="booking"),
)


def test_find_nodes_reaches_the_fleet_through_one_node(connect):
    found = fleet.find_nodes(["a"], connect)
    assert [node.host for node in found.statuses] == ["h1", "h2", "h3"]
    assert sorted(missing.host for missing in found.missing) == ["h4", "h5"]


def test_overview(connect, snapshot):
    assert list(overview.format_lines(fleet.find_nodes(["a", "x"], connect))) == snapshot


def test_timeline(connect, snapshot):
    history = fleet.read_history(fleet.find_nodes(["a"], connect), connect)
    assert list(timeline.format_lines(history)) == snapshot


def test_summary_counts_events_by_interval(snapshot):
    shed = {"service": "booking", "target": "h2", "verdict": "not-run"}
    ring = (
        *(
            event(at, "h1", "attempt.refused", f"r{at}", "shed", **shed)
            for at in range(0, 1500, 100)
        ),
        *(event(700, host, "member.lost", about="h3", service="booking") for host in ("h1", "h2")),
        event(800, "h2", "node.stopping"),
        event(4200, "h1", "call.refused", "r1", "rate"),
    )
    history = fleet.History(ring, (fleet.MissingNode("h4", "d", "refused"),))
    assert list(summary.format_lines(history, 1.0)) == snapshot


def test_timeline_filtered_by_kind_still_lists_missing_nodes(connect):
    history = fleet.read_history(fleet.find_nodes(["a"], connect), connect)
    shown = list(timeline.format_lines(history, "upstream."))
    assert len([line for line in shown if line.startswith("missing: ")]) == 3
    assert len(shown) == 5


def test_explain(connect, snapshot):
    history = fleet.read_history(fleet.find_nodes(["a"], connect), connect, "r1")
    assert list(explain.format_lines("r1", history)) == snapshot


def test_explain_of_a_request_without_events(connect, snapshot):
    history = fleet.read_history(fleet.find_nodes(["a"], connect), connect, "r9")
    assert list(explain.format_lines("r9", history)) == snapshot


def test_effect_is_sorted_after_its_cause_when_clocks_differ():
    fast_log, slow_log = events.EventLog("h1", 1, "a"), events.EventLog("h2", 1, "b")
    fast_log.clock.observe(hlc.Stamp(START_MS * 2, 0, "h1"))
    cause = fast_log.emit("call.relayed")
    earlier = slow_log.emit("node.started")
    slow_log.clock.observe(cause.stamp)
    effect = slow_log.emit("call.refused")
    merged = sorted([effect, earlier, cause], key=lambda item: item.stamp)
    assert merged == [earlier, cause, effect]
