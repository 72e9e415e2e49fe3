"""Announces an upstream to the node on its host, again at each heartbeat."""

import http.client
import json
import threading
import time
from collections.abc import Callable

PATH = "/_bergamotridge/announce"
RETRY_S = 0.1
TIMEOUT_S = 1.0


class Announcer:
    """Sends what `describe` returns; `now` sends it at once; None is not sent."""

    def __init__(self, node: str, describe: Callable[[], dict | None]) -> None:
        self._node = node
        self._describe = describe
        self._wake = threading.Event()
        self._acknowledged = 0
        threading.Thread(target=self._run, name="announce", daemon=True).start()

    def now(self, wait_s: float) -> bool:
        """Announces at once and returns True if the node answered within `wait_s` seconds."""
        before, deadline = self._acknowledged, time.monotonic() + wait_s
        self._wake.set()
        while time.monotonic() < deadline and self._acknowledged == before:
            time.sleep(0.01)
        return self._acknowledged > before

    def _run(self) -> None:
        while True:
            self._wake.clear()
            description = self._describe()
            heartbeat_s = RETRY_S if description is None else self._send(description)
            self._wake.wait(heartbeat_s)

    def _send(self, description: dict) -> float:
        connection = http.client.HTTPConnection(self._node, timeout=TIMEOUT_S)
        try:
            connection.request("POST", PATH, json.dumps(description))
            answer = connection.getresponse()
            heartbeat_s = float(json.loads(answer.read())["heartbeat_s"])
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            return RETRY_S
        finally:
            connection.close()
        self._acknowledged += 1
        return heartbeat_s
