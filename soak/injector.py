"""Carries out the events of a plan, those that overlap side by side, and ends all faults."""

import concurrent.futures
import heapq
import http.client
import itertools
import threading
import time
from collections.abc import Callable

import attrs

from soak import caller_links, disturbances, operators, plan, supervisor
from standins import fleet

EVENT_THREADS = 16
END_RETRY_S = 0.5
NO_PLATFORM_FAULTS = {"outage": False, "delay_ms": 0, "lose_answers": 0, "stale_reads": False}
NO_UPSTREAM_FAULTS = {
    "service_ms": plan.SERVICE_MS,
    "shed_rate": 0.0,
    "cut_answers": 0,
    "late_ms": 0.0,
    "load": None,
    "silent": False,
}
REQUEST_ERRORS = (OSError, http.client.HTTPException)
SIGNALS = {
    plan.Kind.NODE_STOP: supervisor.Supervisor.stop,
    plan.Kind.NODE_KILL: supervisor.Supervisor.kill,
    plan.Kind.NODE_PAUSE: supervisor.Supervisor.pause,
    plan.Kind.UPSTREAM_STOP: supervisor.Supervisor.stop,
    plan.Kind.UPSTREAM_KILL: supervisor.Supervisor.kill,
    plan.Kind.UPSTREAM_PAUSE: supervisor.Supervisor.pause,
    plan.Kind.PLATFORM_KILL: supervisor.Supervisor.kill,
    plan.Kind.PLATFORM_PAUSE: supervisor.Supervisor.pause,
}


@attrs.frozen(order=True)
class _Step:
    """The start or the end of an event, due at a monotonic time in seconds."""

    due: float
    number: int
    name: str = attrs.field(order=False)
    action: Callable[[], object] = attrs.field(order=False)


class Injector:
    """Carries out events at their times; `run` returns when all have ended."""

    def __init__(
        self,
        running: fleet.Fleet,
        supervising: supervisor.Supervisor,
        log: disturbances.DisturbanceLog,
        operator: operators.Operator,
        links: caller_links.CallerLinks,
    ) -> None:
        self._fleet = running
        self._supervisor = supervising
        self._log = log
        self._operator = operator
        self._caller_links = links
        self._steps: list[_Step] = []
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._cut_domains: list[str] = []
        self._started = time.monotonic()

    def run(self, events: tuple[plan.Event, ...]) -> None:
        """Carries out the events, then ends all faults."""
        self._started = time.monotonic()
        for event in events:
            self._schedule(event.at_s, f"begin {_describe(event)}", self._beginning(event))
        with concurrent.futures.ThreadPoolExecutor(EVENT_THREADS) as pool:
            running: list[concurrent.futures.Future] = []
            while self._steps or not all(future.done() for future in running):
                step = self._next_due_step(time.monotonic())
                if step is None:
                    time.sleep(supervisor.POLL_INTERVAL_S)
                else:
                    running.append(pool.submit(self._perform, step))
        for future in running:
            future.result()
        self._end_faults()

    def _schedule(self, at_s: float, name: str, action: Callable[[], object]) -> None:
        step = _Step(self._started + at_s, next(self._numbers), name, action)
        with self._lock:
            heapq.heappush(self._steps, step)

    def _next_due_step(self, now: float) -> _Step | None:
        with self._lock:
            if self._steps and self._steps[0].due <= now:
                return heapq.heappop(self._steps)
        return None

    def _perform(self, step: _Step) -> None:
        result = step.action()
        now = time.monotonic()
        print(f"{now:.2f} {self._elapsed_s():7.2f} s  {step.name}: {result}", flush=True)

    def _beginning(self, event: plan.Event) -> Callable[[], object]:
        """Returns what begins an event; faults of stand-ins schedule their end themselves."""
        if event.kind in SIGNALS:
            part = event.kind.partition("-")[0]
            name = f"{event.target}-{part}" if event.target else part
            return lambda: SIGNALS[event.kind](self._supervisor, name, event.for_s)
        match event.kind:
            case plan.Kind.NODE_RELOAD:
                return lambda: self._supervisor.reload(f"{event.target}-node")
            case plan.Kind.UPSTREAM_FAULT:
                return lambda: self._fault_upstream(event)
            case plan.Kind.PLATFORM_FAULT:
                return lambda: self._fault_platform(event)
            case plan.Kind.CUT:
                return lambda: self._cut(event)
            case plan.Kind.LINK_FAULT | plan.Kind.LINK_RESET:
                return lambda: self._fault_links(event)
            case plan.Kind.CALLER_LINK_FAULT | plan.Kind.CALLER_LINK_RESET:
                return lambda: self._fault_caller_link(event)
            case plan.Kind.CHANGE:
                return self._operator.change
            case plan.Kind.RACING_CHANGES:
                return self._operator.change_twice_at_once
            case plan.Kind.WITHDRAW:
                return lambda: self._operator.withdraw(event.value, event.target)
        raise ValueError(f"no action for events of kind '{event.kind}'")

    def _begin_fault(
        self,
        event: plan.Event,
        part: disturbances.Part,
        host: str,
        begin: Callable[[], object],
        end: Callable[[], object],
    ) -> object:
        """Begins a fault and schedules its end."""
        entry = self._log.begin(part, disturbances.Cause.FAULT, host, planned=False)
        name = f"end {_describe(event)}"

        def finish() -> object:
            try:
                result = end()
            except REQUEST_ERRORS as error:
                # The stand-in is paused or down; the fault lasts until it takes the request.
                self._schedule(self._elapsed_s() + END_RETRY_S, name, finish)
                return f"failed: {error!r}"
            entry.close(time.monotonic())
            return result

        result = _try(begin)
        self._schedule(self._elapsed_s() + event.for_s, name, finish)
        return result

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started

    def _fault_upstream(self, event: plan.Event) -> object:
        member = self._fleet.members[event.target]
        return self._begin_fault(
            event,
            disturbances.Part.UPSTREAM,
            event.target,
            lambda: member.inject_faults(**{event.fault: event.value}),
            lambda: member.inject_faults(**{event.fault: NO_UPSTREAM_FAULTS[event.fault]}),
        )

    def _fault_platform(self, event: plan.Event) -> object:
        inject = self._fleet.inject_platform_faults
        return self._begin_fault(
            event,
            disturbances.Part.PLATFORM,
            "",
            lambda: inject(**{event.fault: event.value}),
            lambda: inject(**{event.fault: NO_PLATFORM_FAULTS[event.fault]}),
        )

    def _cut(self, event: plan.Event) -> object:
        return self._begin_fault(
            event,
            disturbances.Part.NETWORK,
            "",
            lambda: self._change_cut(self._cut_domains.append, event.target),
            lambda: self._change_cut(self._cut_domains.remove, event.target),
        )

    def _change_cut(self, change: Callable[[str], None], domain: str) -> None:
        with self._lock:
            change(domain)
            self._fleet.cut(*set(self._cut_domains))

    def _fault_links(self, event: plan.Event) -> object:
        links = self._links(event.target)
        if event.kind is plan.Kind.LINK_RESET:
            entry = self._log.begin(
                disturbances.Part.NETWORK,
                disturbances.Cause.FAULT,
                event.target,
                planned=False,
            )
            result = _try(lambda: [self._fleet.reset_link(link) for link in links])
            entry.close(time.monotonic() + supervisor.RESUME_SETTLE_S)
            return result
        return self._begin_fault(
            event,
            disturbances.Part.NETWORK,
            event.target,
            lambda: [
                self._fleet.inject_link_faults(link, **{event.fault: event.value}) for link in links
            ],
            lambda: [self._fleet.inject_link_faults(link) for link in links],
        )

    def _fault_caller_link(self, event: plan.Event) -> object:
        host, links = event.target, self._caller_links
        if event.kind is plan.Kind.CALLER_LINK_RESET:
            return _try(lambda: links.reset(host))
        return self._begin_fault(
            event,
            disturbances.Part.CALLERS,
            host,
            lambda: links.inject(host, **{event.fault: event.value}),
            lambda: links.inject(host),
        )

    def _links(self, host: str) -> list[str]:
        if not host:
            return [self._fleet.platform_link]
        addresses = self._fleet.addresses(host)
        return [addresses.advertised_relay, addresses.advertised_control]

    def _end_faults(self) -> None:
        """Ends what an event that failed may have left behind, once all processes run again."""
        while not self._supervisor.is_settled():
            time.sleep(supervisor.POLL_INTERVAL_S)
        self._fleet.inject_platform_faults(**NO_PLATFORM_FAULTS)
        for member in self._fleet.members.values():
            member.inject_faults(**NO_UPSTREAM_FAULTS)


def _describe(event: plan.Event) -> str:
    fault = f" {event.fault}={event.value}" if event.fault else ""
    return f"{event.kind} {event.target}{fault}"


def _try(action: Callable[[], object]) -> object:
    """Returns the result of an action, or its error if the stand-in did not take it."""
    try:
        return action()
    except REQUEST_ERRORS as error:
        return f"failed: {error!r}"
