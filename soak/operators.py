"""Operators who change the text and withdraw keys while traffic runs, and what they were told."""

import concurrent.futures
import contextlib
import http.client
import json
import pathlib
import subprocess
import threading
import time
from collections.abc import Sequence

import attrs

from soak import plan
from standins import client, fleet, load

FIRST_GENERATION = 1
STORE_TIMEOUT_S = 15.0
STORE_POLL_INTERVAL_S = 0.2


@attrs.frozen
class Change:
    """One change of the text or withdrawal of a key.

    Attributes:
        began: Monotonic time in seconds at which the operator began it.
        accepted: Monotonic time in seconds at which the operator was told that it was accepted,
            None if it was not or if that is unknown.
    """

    began: float
    accepted: float | None


class Operator:
    """Changes the text and withdraws keys, by the operators' commands.

    Attributes:
        generations: All changes of the text, by their number in the order of their application.
        withdrawals: All withdrawals, by the end of the key as load records have it.
    """

    def __init__(
        self,
        running: fleet.Fleet,
        keys: Sequence[fleet.Key],
        directory: pathlib.Path,
    ) -> None:
        """Prepares the operator.

        Args:
            running: The fleet; the text of the first generation is in force.
            keys: The keys that can be withdrawn.
            directory: Directory for the texts.
        """
        now = time.monotonic()
        self.generations = {FIRST_GENERATION: Change(now, now)}
        self.withdrawals: dict[str, Change] = {}
        self._fleet = running
        self._keys = keys
        self._directory = directory
        self._lock = threading.Lock()
        self._apply_lock = threading.Lock()

    @property
    def newest_generation(self) -> int:
        """Number of the latest change of the text that was begun."""
        return max(self.generations)

    def change(self) -> str:
        """Applies the text of the next generation."""
        with self._apply_lock:
            return self._apply(self._begin_generation())

    def change_twice_at_once(self) -> str:
        """Applies the texts of the next two generations at once, both based on the same version."""
        with self._apply_lock:
            try:
                version = self._read_object("configuration/current")["version"]
            except (OSError, http.client.HTTPException) as error:
                return f"not begun: {error!r}"
            generations = (self._begin_generation(), self._begin_generation())
            with concurrent.futures.ThreadPoolExecutor(len(generations)) as pool:
                applying = [
                    pool.submit(self._apply, generation, f"--read_version={version}")
                    for generation in generations
                ]
            return ", ".join(future.result() for future in applying)

    def withdraw(self, key: int, host: str) -> str:
        """Withdraws a key by its index, at the platform or at the node of one host.

        What only nodes know is lost if all of them are replaced in an outage, so a withdrawal at a
        node counts as accepted once the platform has stored it.
        """
        withdrawn = self._keys[key]
        name = withdrawn.secret[-load.RECORDED_KEY_CHARS :]
        began = time.monotonic()
        self.withdrawals[name] = Change(began, None)
        try:
            self._fleet.withdraw(withdrawn, *([host] if host else []))
        except subprocess.SubprocessError as error:
            return f"failed: {error!r}"
        if host and not self._await_stored_withdrawal(withdrawn):
            return "known to nodes only"
        self.withdrawals[name] = Change(began, time.monotonic())
        return "accepted"

    def _await_stored_withdrawal(self, withdrawn: fleet.Key) -> bool:
        """Waits for a withdrawal in the platform; returns False if it does not come in time."""
        deadline = time.monotonic() + STORE_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if self._read_object(f"keys/{withdrawn.key_id}")["value"]["withdrawn"]:
                    return True
            time.sleep(STORE_POLL_INTERVAL_S)
        return False

    def _begin_generation(self) -> int:
        with self._lock:
            generation = self.newest_generation + 1
            self.generations[generation] = Change(time.monotonic(), None)
        return generation

    def _apply(self, generation: int, *options: str) -> str:
        path = self._directory / f"generation-{generation}.toml"
        path.write_text(plan.build_text(generation), encoding="utf-8")
        platform = f"--platform={self._fleet.platform_address}"
        try:
            self._fleet.run_command("apply", platform, f"--file={path}", *options)
        except subprocess.SubprocessError as error:
            return f"generation {generation} failed: {error!r}"
        began = self.generations[generation].began
        self.generations[generation] = Change(began, time.monotonic())
        return f"generation {generation} accepted"

    def _read_object(self, name: str) -> dict:
        """Reads an object of the platform; raises OSError if it does not return it."""
        reply = client.send_request(self._fleet.platform_address, "GET", f"/objects/{name}")
        if reply.status != http.client.OK:
            raise OSError(f"status {reply.status}")
        return json.loads(reply.body)
