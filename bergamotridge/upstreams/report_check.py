"""Asks the upstream on this host for proof that it lives, where its reports alone are none."""

import asyncio
from collections.abc import Awaitable, Callable
from concurrent import futures
from typing import Protocol

import attrs

from bergamotridge.nodes import record
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import report_proof
from bergamotridge.util import http_client, loop, message

PROBE_TIMEOUT_S = 1.0
REPEAT_PAUSE_S = 0.25
OK_STATUS = 200
BUSY_STATUS = 503

OnAnnouncement = Callable[[announcements.Announcement, float], None]
# Returns the id of the upstream that made a response to a health check, "" if it doesn't say.
ReadInstance = Callable[[message.Response], str]
# Returns the seconds for which that upstream stays cold, None if it doesn't say.
ReadColdness = Callable[[message.Response], float | None]


def read_no_instance(response: message.Response) -> str:
    """Returns "": the response to a health check doesn't name the upstream."""
    del response
    return ""


def read_no_coldness(response: message.Response) -> None:
    """Returns None: the response to a health check doesn't say whether the upstream is cold."""
    del response


class Observer(Protocol):
    """Is told what became of reports that may be late, for events and metrics."""

    def record_held(self, received: announcements.Announcement) -> None:
        """Records that a report is not believed yet."""

    def record_probe(self, asked: announcements.Announcement, result: str) -> None:
        """Records the result of the health check that was made for a report."""

    def record_proof(self, received: announcements.Announcement) -> None:
        """Records that an upstream whose reports were held back is believed now."""


class ReportCheck:
    """Passes on the reports that count; makes a health check for one that does not; for one loop.

    An upstream that is full may refuse a health check, or leave it unanswered. So each report that
    is held back has its own, which is repeated until the next report is due; there is never more
    than one under way.
    """

    def __init__(
        self,
        proof: report_proof.ReportProof,
        health_path: Callable[[str], str],
        read_instance: ReadInstance,
        apply: OnAnnouncement,
        observer: Observer,
        pools: http_client.Pools,
        event_loop: loop.Loop,
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        read_cold_s: ReadColdness = read_no_coldness,
    ) -> None:
        """Creates a check.

        Args:
            proof: Decides which reports count.
            health_path: Returns the path of the health check of a service, "" while not known.
            read_instance: Reads the id of the upstream in the response to a health check.
            apply: Called with each report that counts and the monotonic time in seconds.
            observer: Is told of reports that are held back.
            pools: Connection pools by address.
            event_loop: Loop on which `receive` is called.
            clock: Returns the monotonic time in seconds.
            sleep: Waits for a number of seconds.
            read_cold_s: Reads how long the upstream stays cold in such a response.
        """
        self._proof = proof
        self._health_path = health_path
        self._read_instance = read_instance
        self._apply = apply
        self._observer = observer
        self._pools = pools
        self._loop = event_loop
        self._clock = clock
        self._sleep = sleep
        self._read_cold_s = read_cold_s
        self._asked: announcements.Announcement | None = None
        self._is_asking = False

    def receive(self, received: announcements.Announcement, now: float) -> None:
        """Passes on a report that counts, or holds it back; never waits."""
        held_before = self._proof.held
        was_held = held_before is not None and held_before.upstream_id == received.upstream_id
        if self._proof.is_believed(received, now):
            self._apply(received, now)
            if was_held and received.state is record.State.READY:
                self._observer.record_proof(received)
            return
        if not was_held:
            self._observer.record_held(received)
        self._start_probe()

    def handle_configuration(self) -> None:
        """Makes the health check if only its path was missing; may be called from any thread."""
        self._loop.submit(self._handle_configuration()).add_done_callback(_raise_error)

    async def _handle_configuration(self) -> None:
        self._start_probe()

    def _start_probe(self) -> None:
        """Asks the upstream for the latest report that is held back, if it is known where."""
        held = self._proof.held
        if self._is_asking or held is None or held is self._asked:
            return
        path = self._health_path(held.service)
        if path:
            self._asked = held
            self._is_asking = True
            self._loop.submit(self._probe(held, path)).add_done_callback(_raise_error)

    async def _probe(self, asked: announcements.Announcement, path: str) -> None:
        """Asks the upstream until it answers or its next report is due."""
        repeats_until = self._clock() + self._proof.heartbeat_s
        while await self._ask(asked, path):
            await self._sleep(REPEAT_PAUSE_S)
            if self._asked is not asked:
                return
            if self._proof.held is not asked:
                self._start_probe()
                return
            if self._clock() >= repeats_until:
                return

    async def _ask(self, asked: announcements.Announcement, path: str) -> bool:
        """Makes one health check; returns whether another one may have a better result."""
        request = message.Request(b"GET", path.encode(), [(b"host", asked.address.encode())], b"")
        instance, status, cold_s = "", None, None
        self._is_asking = True
        try:
            response = await self._pools.pool_for(asked.address).send(request, PROBE_TIMEOUT_S)
        except http_client.TransferError as error:
            result = f"no answer: {error}"
        else:
            status = response.status
            result = f"status {status}"
            if status == OK_STATUS:
                instance, cold_s = self._read_instance(response), self._read_cold_s(response)
                result += f" of upstream '{instance}'" if instance else " without an id"
        finally:
            self._is_asking = False
        self._observer.record_probe(asked, result)
        believed = self._proof.record_answer(instance)
        if believed is not None:
            if cold_s is not None:  # The response is later than the report.
                believed = attrs.evolve(believed, cold_s=cold_s)
            self._apply(believed, self._clock())
            self._observer.record_proof(believed)
        return status in (None, BUSY_STATUS)


def _raise_error(done: futures.Future) -> None:
    """Has the error of a task logged, if there is one."""
    done.result()
