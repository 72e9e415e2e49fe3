"""Trials of how many connections an upstream accepts that has refused some."""

import asyncio
import time

import logbook

from bergamotridge.upstreams import connection_bound, gate
from bergamotridge.util import http_client

PAUSE_S = 0.5  # Between trials while the upstream refuses more connections.
SETTLE_S = 0.2  # An upstream refuses a connection within this time of its opening.

_log = logbook.Logger(__name__)


class ConnectionTrials:
    """Bounds the calls to an upstream that refuses connections, and tries when it accepts more.

    For use on one event loop. In a trial, connections without a request are opened; those that stay
    open serve later calls.
    """

    def __init__(self, admission_gate: gate.Gate, pools: http_client.Pools) -> None:
        self._gate = admission_gate
        self._pools = pools
        self._address = ""
        self._timer: asyncio.TimerHandle | None = None
        self._trial: asyncio.Task | None = None
        self._is_reported = False
        # Connections beside the refused ones of the present trial, where fewest were open.
        self._fewest_open = connection_bound.UNBOUNDED_CONNECTIONS

    def record_refusal(self, address: str, open_connections: int) -> None:
        """Takes in that the upstream refused a connection.

        Args:
            address: Address of the upstream.
            open_connections: Connections that were open beside the refused one.
        """
        self._address = address
        self._fewest_open = min(self._fewest_open, open_connections)
        self._gate.record_refused_connection(open_connections, time.monotonic())
        if self._timer is None and self._trial is None:
            self._is_reported = False
            self._start()

    def _start(self) -> None:
        self._timer = None
        generation, total = self._gate.bound_generation, self._gate.next_trial
        if total is not None:
            self._trial = asyncio.get_running_loop().create_task(self._try(total, generation))
        elif self._gate.has_connection_bound:
            # The upstream is not ready; trials go on once it is.
            self._schedule(PAUSE_S)

    def _schedule(self, delay_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._start)

    async def _try(self, total: int, generation: int) -> None:
        """Tries to have `total` connections open, and schedules the next trial.

        A trial whose upstream is replaced meanwhile, so that the generation of the bound changes,
        says nothing.
        """
        pool = self._pools.pool_for(self._address)
        self._fewest_open = connection_bound.UNBOUNDED_CONNECTIONS
        try:
            accepted = await pool.try_connections(total, SETTLE_S)
        finally:
            self._trial = None
        if generation != self._gate.bound_generation:
            self._schedule(0.0)
            return
        is_whole = accepted >= total
        if not is_whole:
            # Calls whose connections were open as the trial began may have been refused since.
            accepted = min(accepted, self._fewest_open)
        self._gate.record_trial(accepted, is_whole, generation, time.monotonic())
        if not is_whole and not self._is_reported:
            self._is_reported = True
            _log.warning(
                "the upstream at '{}' accepts {} connections and refuses more; calls wait for "
                "these until it accepts more; compare its limit with 'connections'",
                self._address,
                accepted,
            )
        self._schedule(0.0 if is_whole else PAUSE_S)
