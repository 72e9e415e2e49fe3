"""Creates the HTTP servers of a node."""

import functools
from collections.abc import Callable
from typing import Protocol

from bergamotridge import answer, settings
from bergamotridge.operators import node_metrics, operator_text
from bergamotridge.util import (
    held_bytes,
    http_connection,
    httpd,
    loop,
    message,
    pipeline,
    request_reader,
)

CALLERS, RELAY = "callers", "relay"
CONTEXT_BYTES = 8_192  # What a node adds to the head of a call that it relays.


class CreateServer(Protocol):
    """Creates the server of a port; see `HttpPorts.create`."""

    def __call__(
        self,
        name: str,
        handler: httpd.Handler,
        connections: int,
        may_overlap: Callable[[message.Request], bool] | None = None,
    ) -> httpd.Server:
        """Returns the server."""


class _CachedBounds:
    """Limits of one port, computed anew once the limits in the operator's text are others."""

    def __init__(
        self,
        text_limits: Callable[[], operator_text.Limits],
        compute: Callable[[operator_text.Limits], request_reader.RequestLimits],
    ) -> None:
        self._text_limits = text_limits
        self._compute = compute
        self._computed_from: operator_text.Limits | None = None
        self._bounds: request_reader.RequestLimits | None = None

    def __call__(self) -> request_reader.RequestLimits:
        text_limits = self._text_limits()
        if text_limits is not self._computed_from:
            self._computed_from, self._bounds = text_limits, self._compute(text_limits)
        return self._bounds


class HttpPorts:
    """Creates the servers of the HTTP ports, whose names are the keys of the addresses."""

    def __init__(
        self,
        node: settings.NodeSettings,
        event_loop: loop.Loop,
        metrics: node_metrics.NodeMetrics,
        text_limits: Callable[[], operator_text.Limits],
        memory: held_bytes.HeldBytes | None = None,
    ) -> None:
        """Creates no server yet.

        Args:
            node: Settings of the node.
            event_loop: The event loop that runs all servers.
            metrics: Metrics of the node, which count the connections.
            text_limits: Returns the limits in the operator's text, which apply to callers.
            memory: Account of the bytes that all ports hold, None for an own one.
        """
        self._node = node
        self._loop = event_loop
        self._metrics = metrics
        self._caller_bounds = _CachedBounds(text_limits, self._compute_caller_bounds)
        self._relay_bounds = _CachedBounds(text_limits, self._compute_relay_bounds)
        self._memory = memory or held_bytes.HeldBytes(node.limits.held_bytes)
        metrics.watch_memory(self._memory)

    def create(
        self,
        name: str,
        handler: httpd.Handler,
        connections: int,
        may_overlap: Callable[[message.Request], bool] | None = None,
    ) -> httpd.Server:
        """Returns the server of a port, which does not listen yet.

        Args:
            name: Name of the port.
            handler: Answers each request.
            connections: Maximum number of open connections.
            may_overlap: Returns whether a request may run beside others of its connection; None if
                none may.
        """
        server = httpd.Server(
            getattr(self._node.addresses, name),
            handler,
            connections=connections,
            body_limit=self._node.limits.body_bytes,
            name=name,
            refusal=answer.fixed_refusal(
                503, f"too many connections to the port '{name}', try again later", "connections"
            ),
            bounds={CALLERS: self._caller_bounds, RELAY: self._relay_bounds}.get(name),
            on_turned_away=functools.partial(self._metrics.count_turned_away, name),
            memory=self._memory,
            memory_refusal=answer.fixed_refusal(
                503,
                f"no room for the body of this request at the port '{name}', try again later",
                http_connection.REQUEST_MEMORY,
            ),
            on_input_turn=functools.partial(self._metrics.count_input_turn, name),
            pipelining=self._pipelining(may_overlap),
            event_loop=self._loop,
        )
        self._metrics.watch_port(name, server.connections)
        return server

    def _pipelining(
        self, may_overlap: Callable[[message.Request], bool] | None
    ) -> pipeline.Policy | None:
        if may_overlap is None:
            return None
        return pipeline.Policy(
            self._node.limits.pipelined_calls, may_overlap, self._metrics.count_pipelined_wait
        )

    def _compute_caller_bounds(
        self, text_limits: operator_text.Limits
    ) -> request_reader.RequestLimits:
        """Returns the limits on callers' requests; those in the operator's text take precedence."""
        limits = self._node.limits
        return request_reader.RequestLimits(
            text_limits.header_bytes or httpd.HEADER_BYTES,
            text_limits.body_bytes or limits.body_bytes,
            text_limits.header_timeout_s or httpd.HEADER_TIMEOUT_S,
            text_limits.idle_timeout_s or httpd.IDLE_S,
            limits.body_timeout_s,
        )

    def _compute_relay_bounds(
        self, text_limits: operator_text.Limits
    ) -> request_reader.RequestLimits:
        """Returns the limits on what other nodes relay: at least what a caller may send."""
        limits = self._node.limits
        head_bytes = text_limits.header_bytes or httpd.HEADER_BYTES
        return request_reader.RequestLimits(
            max(httpd.HEADER_BYTES, head_bytes + CONTEXT_BYTES),
            max(limits.body_bytes, text_limits.body_bytes),
            httpd.HEADER_TIMEOUT_S,
            httpd.IDLE_S,
        )
