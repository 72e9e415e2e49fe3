"""The order in which a node starts and stops its parts."""

import asyncio
import threading
import time

import attrs
import pytest

from bergamotridge import application, errors, ports, settings
from bergamotridge.nodes import control, record
from bergamotridge.upstreams import announcement
from standins import processes
from tests import positions

PORT_PARTS = (
    ("relay", "relay_server"),
    ("upstream", "upstream_server"),
    ("callers", "caller_server"),
    ("operators", "operator_port"),
    ("ready", "ready_server"),
    (ports.DATAGRAMS, "freshness_port"),
)
OTHER_PARTS = ("gossip", "team_rates", "suspects", "channels", "objects", "pools")


class RecordedPart:
    """Records what is called on a part of the node."""

    def __init__(self, name, calls):
        self._name = name
        self._calls = calls

    def __getattr__(self, function):
        return lambda *arguments, **named: self._calls.append(f"{self._name}.{function}")


class RecordedServer(RecordedPart):
    async def end(self, grace_s):
        self._calls.append(f"{self._name}.end")


class RecordedLoop(RecordedPart):
    def call(self, function):
        function()

    def run(self, coroutine):
        asyncio.run(coroutine)


@pytest.fixture
def calls():
    return []


@pytest.fixture
def bound():
    free = processes.Ports()
    names = ("callers", "upstream", "relay", "control", "operators", "ready")
    addresses = settings.Addresses(**{name: free.allocate() for name in names})
    bound = ports.bind(addresses)
    yield bound
    bound.close()


def create_node(**tables):
    free = processes.Ports()
    names = ("callers", "upstream", "relay", "control", "operators", "ready")
    return application.Application(
        settings.NodeSettings(
            host="h1",
            failure_domain="a",
            fleet_secret="s",
            addresses=settings.Addresses(**{name: free.allocate() for name in names}),
            platform=settings.Platform(address=free.allocate()),
            limits=settings.Limits(notice_s=0.0, drain_s=0.0),
            **tables,
        ),
        1,
    )


@pytest.fixture
def node(calls, monkeypatch):
    node = create_node()
    for name in (*(part for _, part in PORT_PARTS), *OTHER_PARTS):
        kind = RecordedServer if name.endswith("_server") else RecordedPart
        monkeypatch.setattr(node, name, kind(name, calls))
    monkeypatch.setattr(node, "platform_tasks", [RecordedPart("task", calls)])
    real_loop = node.loop
    monkeypatch.setattr(node, "loop", RecordedLoop("loop", calls))

    def create_control_server(*arguments):
        calls.append("control.bind")
        return RecordedPart("control", calls)

    monkeypatch.setattr(control, "ControlServer", create_control_server)
    yield node
    real_loop.stop()


# A part that is not told of the setting learns nothing, without an error.
@pytest.mark.parametrize("dependencies", [settings.BY_SERVICE, settings.BY_ROUTE])
def test_the_parts_tell_routes_apart_only_by_the_setting(dependencies):
    node = create_node(shedding=settings.Shedding(dependencies))
    caller_port = node.callers.port
    parts = (node.upstreams.attribution, caller_port.attribution, node.calls.routes)
    node.loop.stop()
    assert parts[0] is parts[1]
    assert [part is not None for part in parts] == 3 * [dependencies == settings.BY_ROUTE]
    assert caller_port.tree_shedding._dependencies_of == node.calls.dependencies.dependencies_of
    assert (node.upstreams.upstream._tracker is None) is (parts[0] is None)
    assert node.calls.dependency_thresholds._routes is node.calls.routes
    assert node._status.read().route_needs == ()


def test_all_ports_are_open_before_a_node_talks_to_others_and_claims_quota_shares(
    node, bound, calls
):
    node.start(bound)
    assert calls == [
        "control.bind",
        *(f"{part}.start" for _, part in PORT_PARTS),
        "control.start",
        "gossip.start",
        "team_rates.start",
        "task.start",
    ]


def test_a_stop_ends_calls_first_and_the_port_of_readiness_checks_as_the_last(node, bound, calls):
    node.start(bound)
    calls.clear()
    node.stop(time.monotonic())
    assert calls == [
        "caller_server.close_after_answers",
        "relay_server.close_after_answers",
        "gossip.start_urgent_round",
        "team_rates.start_return",
        "caller_server.end",
        "relay_server.end",
        "upstream_server.end",
        "team_rates.stop",
        "task.stop",
        "freshness_port.stop",
        "gossip.stop",
        "suspects.stop",
        "control.stop",
        "channels.close",
        "objects.close",
        "operator_port.stop",
        "ready_server.stop",
        "pools.close",
        "loop.stop",
    ]


# The log of a process that was killed in its stop didn't tell what had held it.
def test_a_stop_leaves_an_event_for_each_part_with_the_time_that_its_end_took(
    node, bound, monkeypatch
):
    monkeypatch.setattr(node.gossip, "stop", lambda wait: time.sleep(0.02), raising=False)
    node.start(bound)
    node.stop(time.monotonic())
    details = [event.detail for event in node.events.recent() if event.kind == "node.part-ended"]
    assert [detail["part"] for detail in details] == list(node._ends())
    assert {detail["part"]: detail["took_s"] for detail in details}["gossip"] >= 0.02
    assert all(detail["left_s"] <= 0.0 for detail in details)


# A part that hung kept the process until it was killed at the end of its grace.
def test_a_part_that_does_not_end_does_not_keep_a_stop(node, bound, monkeypatch):
    may_end = threading.Event()
    monkeypatch.setattr(node.objects, "close", may_end.wait, raising=False)
    limits = attrs.evolve(node.settings.limits, end_s=0.0)
    node.settings = attrs.evolve(node.settings, limits=limits)
    node.start(bound)
    node.stop(time.monotonic())
    held = [event.detail["part"] for event in node.events.recent() if "held" in event.kind]
    may_end.set()
    assert held == ["objects"]


# Tests and operators wait for this event, and then rely on the text.
def test_the_event_of_a_configuration_comes_once_its_routes_and_limits_apply(
    node, calls, monkeypatch
):
    ready = announcement.Announcement("rooms", "127.0.0.1:9", record.State.READY, 1, 50, 100, 0.0)
    node.upstreams.applier.apply(ready, time.monotonic())
    monkeypatch.setattr(
        node.upstreams.gate, "configure", lambda slots, _: calls.append(f"gate {slots}")
    )
    node.events.add_listener(lambda event: calls.append(f"{event.kind} {node.ready()}"))
    node.store.configuration.apply_version(positions.at(1), "[services.rooms]\nslots = 7\n")
    assert calls == ["gate 7", "configuration.accepted True"]


def test_a_port_that_cannot_be_opened_closes_those_that_were(node, bound, calls, monkeypatch):
    def fail(_):
        raise errors.AddressInUseError("taken")

    monkeypatch.setattr(node.caller_server, "start", fail, raising=False)
    with pytest.raises(errors.AddressInUseError):
        node.start(bound)
    assert calls == [
        "control.bind",
        "relay_server.start",
        "upstream_server.start",
        "relay_server.stop",
        "upstream_server.stop",
        "control.stop",
    ]
