"""Reports crashes of the local upstream and what they mean for requests, as events and metrics."""

from collections.abc import Callable, Sequence

from bergamotridge import errors, events
from bergamotridge.nodes import fingerprint as fingerprints
from bergamotridge.nodes import suspects
from bergamotridge.operators import node_metrics
from bergamotridge.upstreams import notice, suspect_run

# Hundreds of calls may run when an upstream crashes. The most suspected ones get a line each; the
# fingerprints of the others stand in the line of the crash.
MAX_CALLS_LOGGED = 20
MAX_FINGERPRINTS_LOGGED = 256
MIN_CRASHES_LOGGED = 2  # Trials of weaker suspects are counted only.

# Takes method, path and host name; returns the name of the route, "" if none matches.
NameRoute = Callable[[str, str, str], str]


class CrashObserver:
    """Logs and counts crashes of the local upstream."""

    def __init__(
        self, log: events.EventLog, metrics: node_metrics.NodeMetrics, name_route: NameRoute
    ) -> None:
        """Creates an observer that reports to `log` and `metrics`."""
        self._log = log
        self._metrics = metrics
        self._name_route = name_route

    def record_crash(
        self, upstream: notice.UpstreamId, calls: Sequence[suspect_run.SuspectCall]
    ) -> None:
        """Logs a crash and the calls that ran, those most suspected first."""
        self._metrics.count_crash()
        self._log.emit(
            "upstream.crashed",
            instance=upstream.instance,
            incarnation_of=upstream.incarnation,
            calls=len(calls),
            calls_logged=min(len(calls), MAX_CALLS_LOGGED),
            fingerprints=[
                fingerprints.format_fingerprint(item.lost.fingerprint)
                for item in calls[:MAX_FINGERPRINTS_LOGGED]
            ],
        )
        for item in calls[:MAX_CALLS_LOGGED]:
            self._log_call(upstream, item)

    def _log_call(self, upstream: notice.UpstreamId, item: suspect_run.SuspectCall) -> None:
        lost = item.lost
        self._log.emit(
            "upstream.crashed-under",
            lost.request_id,
            instance=upstream.instance,
            path=lost.path,
            route=self._name_route(lost.method, lost.path, lost.virtual_host),
            team=lost.team,
            fingerprint=fingerprints.format_fingerprint(lost.fingerprint),
            crashes=item.suspicion.crashes,
            follows=_describe_consequence(item.suspicion),
        )

    def record_refusal(self, request_id: str, fingerprint: int, refusal: errors.CallError) -> None:
        """Counts and logs that a suspect was refused."""
        self._metrics.count_suspect_call(refusal.reason)
        self._log.emit(
            "call.held-back",
            request_id,
            refusal.reason,
            fingerprint=fingerprints.format_fingerprint(fingerprint),
            retry_after_s=round(refusal.retry_after_s, 3),
        )

    def record_trial_start(self, run: suspect_run.Run) -> None:
        """Counts a trial, and logs that of a strong suspect."""
        self._metrics.count_suspect_call("trial")
        if run.suspicion.crashes >= MIN_CRASHES_LOGGED:
            self._log.emit("suspect.tried", run.context.request_id, **_trial_detail(run))

    def record_trial_end(self, run: suspect_run.Run) -> None:
        """Logs the end of the trial of a strong suspect."""
        if run.suspicion.crashes >= MIN_CRASHES_LOGGED:
            self._log.emit(
                "suspect.cleared" if run.completed else "suspect.not-cleared",
                run.context.request_id,
                **_trial_detail(run),
            )

    def record_revocation(self, run: suspect_run.Run) -> None:
        """Counts and logs that a running suspect is cancelled."""
        self._metrics.count_suspect_call("revoked")
        self._log.emit(
            "call.revoked",
            run.context.request_id,
            fingerprint=fingerprints.format_fingerprint(run.fingerprint),
        )


def _trial_detail(run: suspect_run.Run) -> dict[str, object]:
    return {
        "fingerprint": fingerprints.format_fingerprint(run.fingerprint),
        "crashes": run.suspicion.crashes,
    }


def _describe_consequence(suspicion: suspects.Suspicion) -> str:
    if suspicion.crashes >= suspects.CRASHES_TO_HOLD:
        return "requests like it are held back"
    return "requests like it run one at a time until one completes"
