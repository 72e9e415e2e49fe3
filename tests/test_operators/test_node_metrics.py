"""Metrics of a node: gauges show its status; events and answers are counted."""

from bergamotridge import events, metrics, verdict
from bergamotridge.operators import assembly, node_metrics, status
from bergamotridge.util import connection_table

STATUS = status.Status(
    "h1",
    1,
    "utrecht",
    61.2,
    configuration_version=3,
    load=status.Load(2, 1, 8.5),
    replica_ages={"configuration": 0.75},
    members=(
        status.Member("h1", 1, "utrecht", "booking", "ready"),
        status.Member("h2", 1, "utrecht", "booking", "ready"),
        status.Member("h3", 1, "utrecht", "booking", "lost"),
    ),
    teams=(status.TeamRate("delft", 10, 5, 2.5, 1),),
)


def test_the_metrics_of_a_node(snapshot):
    registry = metrics.Metrics()
    node = node_metrics.NodeMetrics(registry, lambda: STATUS)
    log = events.EventLog("h1", 1, "utrecht")
    log.add_listener(node.count_event)
    log.emit("call.refused", "r1", "rate")
    log.emit("call.refused", "r2", "rate")
    node.count_answer("delft", "critical", "", verdict.Verdict.RUN, 0.004)
    node.count_answer("delft", "critical", "rate", verdict.Verdict.NOT_RUN, 0.001)
    lines = registry.render().body.decode().splitlines()
    varying = ("cpu_seconds", "resident_memory_bytes")
    assert [line for line in lines if not any(name in line for name in varying)] == snapshot


def test_a_node_counts_its_events_from_the_first_one_on():
    log = events.EventLog("h1", 1, "utrecht")
    recorders = assembly.create_recorders(log, lambda: STATUS)
    log.emit("node.started")
    lines = recorders.registry.render().body.decode().splitlines()
    assert 'bergamotridge_events_total{cause="",kind="node.started"} 1' in lines


# Connections filled a port, and no metric told how many were open, idle, or allowed.
def test_the_connections_of_a_port_are_told_by_state():
    registry = metrics.Metrics()
    node = node_metrics.NodeMetrics(registry, lambda: STATUS)
    table = connection_table.ConnectionTable(8)
    node.watch_port("callers", table)
    connections = [object() for _ in range(5)]
    for number, connection in enumerate(connections):
        table.admit(connection, float(number))
    table.mark_busy(connections[0])
    text = registry.render().body.decode()
    assert 'bergamotridge_connections{port="callers",state="busy"} 1' in text
    assert 'bergamotridge_connections{port="callers",state="idle"} 4' in text
    assert 'bergamotridge_connections_limit{port="callers"} 8' in text
