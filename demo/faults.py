"""Injects the faults of the demo at their times."""

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
        name: What happens, as it is printed.
        action: Starts or ends the fault.
    """

    at_s: float
    name: str
    action: Callable[[], object]


@attrs.define
class Times:
    """When each step happened, in CLOCK_MONOTONIC seconds; 0.0 until then.

    Attributes:
        start: Start of the load.
        withdrawn: The platform had accepted the withdrawal of the key.
        drained: The upstream of `DRAINED_HOST` was told to terminate.
        slow_from: The slow service became slow.
        slow_until: The slow service was back at its normal speed.
        accepted: The platform had accepted the changed operator's text.
        in_force: The changed text was in force at every node.
    """

    start: float = 0.0
    withdrawn: float = 0.0
    drained: float = 0.0
    slow_from: float = 0.0
    slow_until: float = 0.0
    accepted: float = 0.0
    in_force: float = 0.0


class FaultInjector:
    """Carries out the steps in a thread of its own.

    Attributes:
        times: When the steps happened.
        failures: Name and error of each step that failed.
    """

    def __init__(self, running: fleet.Fleet, withdrawn_key: fleet.Key) -> None:
        self.times = Times()
        self.failures: list[str] = []
        self._fleet = running
        self._withdrawn_key = withdrawn_key
        self._thread = threading.Thread(target=self._run, name="faults", daemon=True)

    def start(self) -> None:
        """Records the start of the load and starts the thread."""
        self.times.start = time.monotonic()
        self._thread.start()

    def join(self) -> None:
        """Waits until the last step has ended."""
        self._thread.join()

    def _steps(self) -> list[Step]:
        set_outage = self._fleet.inject_platform_faults
        return [
            Step(plan.SLOW_FROM_S, f"{plan.SLOW_SERVICE} becomes slow", self._slow_service),
            Step(
                plan.SLOW_UNTIL_S,
                f"{plan.SLOW_SERVICE} is at its normal speed again",
                self._restore_service,
            ),
            Step(
                plan.WITHDRAW_AT_S,
                f"{plan.WITHDRAWN_TEAM}: one key is withdrawn",
                self._withdraw_key,
            ),
            Step(plan.DRAIN_AT_S, f"the upstream of {DRAINED_HOST} drains", self._drain_upstream),
            Step(plan.OUTAGE_FROM_S, "outage of the platform", lambda: set_outage(outage=True)),
            Step(plan.OUTAGE_UNTIL_S, "end of the outage", lambda: set_outage(outage=False)),
            Step(plan.CHANGE_AT_S, "an operator changes the text", self._change_text),
        ]

    def _run(self) -> None:
        for step in self._steps():
            time.sleep(max(0.0, self.times.start + step.at_s - time.monotonic()))
            print(f"{step.at_s:5.0f} s  {step.name}", flush=True)
            try:
                step.action()
            except Exception as error:
                self.failures.append(f"{step.name}: {error}")

    def _set_service_ms(self, service_ms: float) -> None:
        for member in self._fleet.members.values():
            if member.host.service == plan.SLOW_SERVICE:
                member.inject_faults(service_ms=service_ms)

    def _slow_service(self) -> None:
        self.times.slow_from = time.monotonic()
        self._set_service_ms(plan.SLOW_SERVICE_MS)

    def _restore_service(self) -> None:
        self._set_service_ms(plan.SERVICE_TIME_MS[plan.SLOW_SERVICE])
        self.times.slow_until = time.monotonic()

    def _withdraw_key(self) -> None:
        self._fleet.withdraw(self._withdrawn_key)
        self.times.withdrawn = time.monotonic()

    def _drain_upstream(self) -> None:
        self._fleet.members[DRAINED_HOST].upstream.terminate()
        self.times.drained = time.monotonic()

    def _change_text(self) -> None:
        self._fleet.apply(plan.TEXT_PATH.read_text(encoding="utf-8") + "# changed under load\n")
        self.times.accepted = time.monotonic()
        self._fleet.wait_until_newest_configuration()
        self.times.in_force = time.monotonic()
