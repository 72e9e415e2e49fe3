"""The faults of the demo, each brought about at its time."""

import threading
import time
from collections.abc import Callable

import attrs

from demo import plan
from standins import fleet

DRAINED_HOST = "booking-2"


@attrs.frozen
class Step:
    """One fault or its end.

    Attributes:
        at_s: Seconds after the start of the load.
        name: What happens, in a few words.
        action: Brings it about.
    """

    at_s: float
    name: str
    action: Callable[[], object]


@attrs.define
class Times:
    """When things happened, in CLOCK_MONOTONIC seconds."""

    start: float = 0.0
    withdrawn: float = 0.0
    drained: float = 0.0
    slow_from: float = 0.0
    slow_until: float = 0.0
    accepted: float = 0.0
    in_force: float = 0.0


class Faults:
    """Carries out the steps from a thread of its own."""

    def __init__(self, running: fleet.Fleet, withdrawn: fleet.Key) -> None:
        self.times = Times()
        self.failed: list[str] = []
        self._fleet = running
        self._withdrawn = withdrawn
        self._thread = threading.Thread(target=self._run, name="faults", daemon=True)

    def start(self) -> None:
        """Starts the clock of the steps."""
        self.times.start = time.monotonic()
        self._thread.start()

    def join(self) -> None:
        """Waits for the last step."""
        self._thread.join()

    def _steps(self) -> list[Step]:
        outage = self._fleet.platform_faults
        return [
            Step(plan.SLOW_FROM_S, f"{plan.SLOW_SERVICE} slows", self._slow),
            Step(plan.SLOW_UNTIL_S, f"{plan.SLOW_SERVICE} is itself again", self._mend),
            Step(plan.WITHDRAW_AT_S, f"{plan.WITHDRAWN_TEAM} loses a key", self._withdraw),
            Step(plan.DRAIN_AT_S, f"the upstream of {DRAINED_HOST} drains", self._drain),
            Step(plan.OUTAGE_FROM_S, "outage of the platform", lambda: outage(outage=True)),
            Step(plan.OUTAGE_UNTIL_S, "end of the outage", lambda: outage(outage=False)),
            Step(plan.CHANGE_AT_S, "an operator changes the text", self._change),
        ]

    def _run(self) -> None:
        for step in self._steps():
            time.sleep(max(0.0, self.times.start + step.at_s - time.monotonic()))
            print(f"{step.at_s:5.0f} s  {step.name}", flush=True)
            try:
                step.action()
            except Exception as error:
                self.failed.append(f"{step.name}: {error}")

    def _set_service_ms(self, service_ms: float) -> None:
        for member in self._fleet.members.values():
            if member.host.service == plan.SLOW_SERVICE:
                member.control(service_ms=service_ms)

    def _slow(self) -> None:
        self.times.slow_from = time.monotonic()
        self._set_service_ms(plan.SLOW_MS)

    def _mend(self) -> None:
        self._set_service_ms(plan.SERVICE_MS[plan.SLOW_SERVICE])
        self.times.slow_until = time.monotonic()

    def _withdraw(self) -> None:
        self._fleet.withdraw(self._withdrawn)
        self.times.withdrawn = time.monotonic()

    def _drain(self) -> None:
        self._fleet.members[DRAINED_HOST].upstream.terminate()
        self.times.drained = time.monotonic()

    def _change(self) -> None:
        self._fleet.apply(plan.TEXT.read_text(encoding="utf-8") + "# changed under load\n")
        self.times.accepted = time.monotonic()
        self._fleet.wait_newest()
        self.times.in_force = time.monotonic()
