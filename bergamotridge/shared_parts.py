"""The few parts of a node that all packages use to make their own."""

import random

import attrs

from bergamotridge import events, malformed, settings
from bergamotridge.operators import node_metrics
from bergamotridge.util import held_bytes, loop


@attrs.frozen
class SharedParts:
    """Settings and parts that each package takes to make its own parts.

    Attributes:
        node: Checked settings.
        incarnation: Start time of the process in milliseconds.
        log: The node's event log.
        event_loop: The event loop that runs calls.
        rng: Source of randomness.
        metrics: Counts what the parts do.
        memory: Account of the bytes that the node holds for others.
        on_malformed: Takes reports of entries of other processes that cannot be read.
    """

    node: settings.NodeSettings
    incarnation: int
    log: events.EventLog
    event_loop: loop.Loop
    rng: random.Random
    metrics: node_metrics.NodeMetrics
    memory: held_bytes.HeldBytes
    on_malformed: malformed.OnMalformed
