"""Announces an upstream to the node on its host and repeats the announcement as a heartbeat."""

import http.client
import json
import threading
import time
from collections.abc import Callable

ANNOUNCE_PATH = "/_bergamotridge/announce"
RETRY_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 1.0


class Announcer:
    """Sends an announcement to the node at every heartbeat, from a thread of its own.

    The announcement is what the function `describe` returns; if it returns None, nothing is sent.
    The node's response gives the interval until the next announcement.
    """

    def __init__(self, node: str, describe: Callable[[], dict | None]) -> None:
        self._node = node
        self._describe = describe
        self._send_now = threading.Event()
        self._acknowledged = 0
        threading.Thread(target=self._run, name="announce", daemon=True).start()

    def announce_now(self, wait_s: float) -> bool:
        """Announces at once; returns True if the node acknowledged it within `wait_s` seconds."""
        count_before, deadline = self._acknowledged, time.monotonic() + wait_s
        self._send_now.set()
        while time.monotonic() < deadline and self._acknowledged == count_before:
            time.sleep(0.01)
        return self._acknowledged > count_before

    def _run(self) -> None:
        while True:
            self._send_now.clear()
            description = self._describe()
            heartbeat_s = RETRY_INTERVAL_S if description is None else self._send(description)
            self._send_now.wait(heartbeat_s)

    def _send(self, description: dict) -> float:
        connection = http.client.HTTPConnection(self._node, timeout=REQUEST_TIMEOUT_S)
        try:
            connection.request("POST", ANNOUNCE_PATH, json.dumps(description))
            response = connection.getresponse()
            heartbeat_s = float(json.loads(response.read())["heartbeat_s"])
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            return RETRY_INTERVAL_S
        finally:
            connection.close()
        self._acknowledged += 1
        return heartbeat_s
