"""Upstreams and answers for tests of the strategies."""

from bergamotridge.balancing import strategy
from bergamotridge.nodes import load, record


def make_upstream(host, domain="a", slots=10, published_load=0.0):
    return record.UpstreamRecord(
        host, 1, 1, domain, "r", "depot", record.State.READY, slots, published_load, "", ""
    )


def make_answer(gate_load, latency_s=0.1, limit=10, kind="lookup"):
    report = None
    if gate_load is not None:
        report = load.LoadReport(gate_load, limit, int(limit * gate_load), 0)
    return strategy.Answered(kind, report is not None, report, latency_s)
