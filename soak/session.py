"""One run of the soak: starts a fleet, carries out a plan, checks and reports."""

import concurrent.futures
import contextlib
import itertools
import pathlib
import random
import threading
import time
from collections.abc import Iterator, Sequence

import attrs

from soak import (
    caller_links,
    callers,
    checks,
    disturbances,
    injector,
    observations,
    operators,
    plan,
    probes,
    supervisor,
)
from standins import fleet, history, load, processes, upstream

CHECK_INTERVAL_S = 10.0
CALM_S = 3.0  # Load after the service has come back.
CALLERS_END_TIMEOUT_S = 40.0
STOP_SLACK_S = 10.0  # Beyond `limits.drain_s`, for the end of a process.
RECOVERED_ROUTES = ("/reads/1", "/rows", "/items")


@attrs.frozen
class Report:
    """Outcome of one run.

    Attributes:
        seed: The seed.
        findings: What broke a promise, one line each.
        notes: Lines in the nodes' logs that show an unexpected error.
        attempts: Number of attempts of callers.
        good: Number of attempts with a whole good answer.
        runs: Number of runs of upstreams.
    """

    seed: int
    findings: tuple[str, ...]
    notes: tuple[str, ...]
    attempts: int
    good: int
    runs: int

    def to_line(self) -> str:
        """Returns the report in one line."""
        outcome = f"{len(self.findings)} findings" if self.findings else "held"
        return (
            f"seed {self.seed}: {outcome}; {self.attempts} attempts, {self.good} good, "
            f"{self.runs} runs, {len(self.notes)} notes"
        )


class Session:
    """Runs one plan on a fleet that is running."""

    def __init__(self, drawn: plan.Plan, running: fleet.Fleet, directory: pathlib.Path) -> None:
        """Grants keys and prepares all parts; the fleet must be ready."""
        self._plan = drawn
        self._fleet = running
        self._directory = directory
        self._log = disturbances.DisturbanceLog()
        self._supervisor = supervisor.Supervisor(
            self._supervised(),
            self._log,
            running.register_processes if drawn.network else lambda: None,
        )
        self._keys = {
            team: [running.grant(team) for _ in range(drawn.keys if team == "large" else 1)]
            for team in plan.LIMITS
        }
        self._operator = operators.Operator(running, self._keys["large"], directory)
        addresses = {host: running.addresses(host).callers for host in running.members}
        self._prober = probes.Prober(addresses, self._operator)
        self._caller_links = caller_links.CallerLinks(running)
        self._injector = injector.Injector(
            running, self._supervisor, self._log, self._operator, self._caller_links
        )
        self._findings: set[str] = set()

    def run(self) -> Report:
        """Carries out the plan and returns the report."""
        self._await_keys()
        self._supervisor.start()
        sender = self._start_callers()
        self._prober.start()
        with self._checking():
            self._injector.run(self._plan.events)
            self._await_recovery()
            time.sleep(CALM_S)
        sender.terminate()
        sender.wait(CALLERS_END_TIMEOUT_S)
        self._prober.close()
        self._supervisor.close()
        return self._report()

    def _supervised(self) -> Iterator[supervisor.Supervised]:
        yield supervisor.Supervised(
            self._fleet.platform,
            disturbances.Part.PLATFORM,
            "",
            self._fleet.platform_address,
            STOP_SLACK_S,
        )
        for name, member in self._fleet.members.items():
            addresses = member.addresses
            yield supervisor.Supervised(
                member.node,
                disturbances.Part.NODE,
                name,
                addresses.callers,
                self._plan.drain_s + STOP_SLACK_S,
            )
            yield supervisor.Supervised(
                member.upstream,
                disturbances.Part.UPSTREAM,
                name,
                addresses.server,
                upstream.DRAIN_TIMEOUT_S + STOP_SLACK_S,
            )

    def _await_keys(self) -> None:
        """Waits until every host knows all keys."""
        for host in self._fleet.members:
            for granted in itertools.chain.from_iterable(self._keys.values()):
                processes.wait_until(
                    lambda host=host, granted=granted: self._is_known(host, granted),
                    f"{host} knows all keys",
                )

    def _is_known(self, host: str, granted: fleet.Key) -> bool:
        reply = self._fleet.call(host, "GET", RECOVERED_ROUTES[-1], key=granted.secret)
        return reply.status != observations.STATUS_UNAUTHORIZED

    def _start_callers(self) -> processes.Process:
        addresses = {host: self._fleet.addresses(host).callers for host in self._fleet.members}
        assignments = [
            callers.Assignment(
                caller=caller,
                seed=self._plan.seed,
                key=self._keys[caller.team][caller.key % len(self._keys[caller.team])].secret,
                address=(self._caller_links.addresses if caller.linked else addresses)[caller.host],
                other_addresses=tuple(addresses.values()),
            )
            for caller in self._plan.callers
        ]
        path = self._directory / "callers.json"
        callers.write_assignments(path, assignments)
        return self._fleet.launch(
            "callers", "soak.callers", f"--callers={path}", f"--record={self._record_path}"
        )

    @property
    def _record_path(self) -> pathlib.Path:
        return self._directory / "callers.record"

    @contextlib.contextmanager
    def _checking(self) -> Iterator[None]:
        """Checks the promises every `CHECK_INTERVAL_S` seconds in a thread; raises its errors."""
        finished = threading.Event()

        def check_until_finished() -> None:
            while not finished.wait(CHECK_INTERVAL_S):
                self._check(self._running_evidence())

        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            checking = pool.submit(check_until_finished)
            try:
                yield
            finally:
                finished.set()
            checking.result()

    def _check(self, evidence: checks.Evidence) -> None:
        """Checks all promises and prints what is new."""
        found = [str(item) for item in checks.find_violations(evidence)]
        for finding in [*found, *self._supervisor.findings]:
            self._add_finding(finding)

    def _add_finding(self, finding: str) -> None:
        if finding not in self._findings:
            self._findings.add(finding)
            print(f"{time.monotonic():.2f} FINDING {finding}", flush=True)

    def _running_evidence(self) -> checks.Evidence:
        """Returns the evidence for checks while callers still send calls.

        Calls that are repeated are left out: what the record has of one may be without the attempt
        that explains its run.
        """
        evidence = self._evidence()
        attempts = [
            attempt
            for attempt in evidence.attempts
            if not attempt.route.endswith(callers.KEYED_SUFFIX)
        ]
        return attrs.evolve(evidence, attempts=attempts)

    def _evidence(self) -> checks.Evidence:
        # Attempts are read before runs, and probes before changes: what an answer needs was
        # recorded before it.
        attempts = self._read_attempts()
        answered_probes = self._prober.probes()
        return checks.Evidence(
            attempts=attempts,
            runs=history.parse_runs(self._fleet.records()),
            probes=answered_probes,
            generations=dict(self._operator.generations),
            withdrawals=dict(self._operator.withdrawals),
            log=self._log.all(),
            addresses={host: self._fleet.addresses(host) for host in self._fleet.members},
            caller_links=self._caller_links.addresses,
        )

    def _read_attempts(self) -> Sequence[load.Attempt]:
        if not self._record_path.exists():
            return []
        return load.read_record(str(self._record_path))

    def _await_recovery(self) -> None:
        """Waits until the whole fleet serves again and the last changes are in force."""
        try:
            self._fleet.wait_ready()
            processes.wait_until(self._change_text, "a change of the text is accepted")
            self._fleet.wait_until_newest_configuration()
            for host in self._fleet.members:
                for path in RECOVERED_ROUTES:
                    self._await_good_answer(host, path)
            self._fleet.wait_rates({team: rate for team, (rate, _) in plan.LIMITS.items()})
        except processes.NotReadyError as error:
            self._add_finding(f"the service does not come back: {error}")

    def _change_text(self) -> bool:
        return self._operator.change().endswith("accepted")

    def _await_good_answer(self, host: str, path: str) -> None:
        key = self._keys["large"][-1].secret
        numbers = random.Random(self._plan.seed)

        def is_served() -> bool:
            tag = f"recovery-{numbers.getrandbits(64):x}"
            try:
                reply = self._fleet.call(host, "GET", path, key=key, tag=tag)
            except injector.REQUEST_ERRORS:
                return False
            return reply.status == history.STATUS_OK

        processes.wait_until(is_served, f"{host} serves {path}")

    def _report(self) -> Report:
        evidence = self._evidence()
        self._check(evidence)
        return Report(
            seed=self._plan.seed,
            findings=tuple(sorted(self._findings)),
            notes=tuple(self._find_errors_in_logs()),
            attempts=len(evidence.attempts),
            good=sum(item.status == history.STATUS_OK for item in evidence.attempts),
            runs=len(evidence.runs),
        )

    def _find_errors_in_logs(self) -> Iterator[str]:
        for name, member in self._fleet.members.items():
            text = member.node.output.read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines():
                if "Traceback" in line:
                    yield f"{name}: {line}"


def run_plan(drawn: plan.Plan, directory: pathlib.Path) -> Report:
    """Starts a fleet, carries out a plan and returns the report.

    Args:
        drawn: The plan.
        directory: Empty directory for settings, logs and records.
    """
    first_text = plan.build_text(operators.FIRST_GENERATION)
    with fleet.Fleet(directory, drawn.hosts, first_text, network=drawn.network) as running:
        running.wait_ready()
        running.wait_rates({team: rate for team, (rate, _) in plan.LIMITS.items()})
        return Session(drawn, running, directory).run()
