"""Metrics: threads lose no increments, and label values are escaped in the text format."""

from concurrent import futures

import pytest

from bergamotridge import metrics

THREADS = 8
INCREMENTS = 20_000


def test_no_increment_is_lost_between_threads():
    registry = metrics.Metrics()
    counter = registry.counter("calls_total", "Calls.")
    latency = registry.histogram("latency_seconds", "Latency.", (1,))

    def increment(_):
        cell = counter.labelled(team="utrecht")
        for _ in range(INCREMENTS):
            cell.add()
            counter.add(2, team="delft")
            latency.add(0.5)

    with futures.ThreadPoolExecutor(THREADS) as pool:
        list(pool.map(increment, range(THREADS)))
    text = registry.render().body.decode()
    assert f'calls_total{{team="utrecht"}} {THREADS * INCREMENTS}\n' in text
    assert f'calls_total{{team="delft"}} {2 * THREADS * INCREMENTS}\n' in text
    assert f"latency_seconds_count {float(THREADS * INCREMENTS)}" in text


def test_text_form(snapshot):
    registry = metrics.Metrics()
    registry.counter("refused_total", "Refused.").add(team='a"b\\c\nd', reason="rate")
    latency = registry.histogram("latency_seconds", "Latency.", (0.1, 1))
    for value in (0.1, 0.2, 5):
        latency.add(value, service="booking")
    readings = iter(([metrics.Sample(3, {"peer": "h2"})], [metrics.Sample(4, {"peer": "h3"})]))
    registry.gauges("members", "Members.", lambda: next(readings))
    registry.gauge("uptime_seconds", "Uptime.", lambda: 7)
    registry.render()
    rendered = registry.render()
    assert rendered.content_type.startswith("text/plain")
    assert rendered.body.decode() == snapshot


def test_a_name_cannot_be_registered_twice():
    registry = metrics.Metrics()
    registry.counter("calls_total", "Calls.")
    with pytest.raises(ValueError, match="calls_total"):
        registry.gauge("calls_total", "Calls.", lambda: 0)
