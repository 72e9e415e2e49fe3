"""Asks each host again and again which generation of the operator's text is in force."""

import threading
import time
from collections.abc import Mapping

from soak import callers, observations, operators, plan

PROBE_INTERVAL_S = 0.4
PROBE_TIMEOUT_S = 5.0


class Prober:
    """Probes hosts on kept connections, each from a thread of its own."""

    def __init__(self, addresses: Mapping[str, str], operator: operators.Operator) -> None:
        """Prepares the probes.

        Args:
            addresses: Address of the caller port of each host.
            operator: Knows the newest generation.
        """
        self._operator = operator
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._probes: list[observations.Probe] = []
        self._threads = [
            threading.Thread(target=self._run, args=item, name=f"probe {item[0]}", daemon=True)
            for item in addresses.items()
        ]

    def start(self) -> None:
        """Starts all threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Ends all threads."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def probes(self) -> list[observations.Probe]:
        """Returns all probes that got an answer."""
        with self._lock:
            return list(self._probes)

    def _run(self, host: str, address: str) -> None:
        connection = callers.KeptConnection(address)
        while not self._stopping.wait(PROBE_INTERVAL_S):
            newest = self._operator.newest_generation
            for generation in {newest, max(newest - 1, operators.FIRST_GENERATION)}:
                self._probe(connection, host, generation)
        connection.close()

    def _probe(self, connection: callers.KeptConnection, host: str, generation: int) -> None:
        path = plan.GENERATION_PATH.format(generation)
        start = time.monotonic()
        try:
            connection.open()
        except OSError:
            return
        reply = connection.exchange(
            "GET", f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode(), PROBE_TIMEOUT_S
        )
        if reply.status:
            probe = observations.Probe(host, generation, start, time.monotonic(), reply.status)
            with self._lock:
                self._probes.append(probe)
