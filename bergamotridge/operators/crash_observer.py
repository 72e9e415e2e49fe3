"""Reports crashes of the local upstream and what they mean for requests, as events and metrics."""

from collections.abc import Callable, Sequence

from bergamotridge import events
from bergamotridge.nodes import fingerprint
from bergamotridge.operators import node_metrics
from bergamotridge.upstreams import notice, quarantine

# Hundreds of calls may run when an upstream crashes; the most suspected ones get a line.
MAX_CALLS_LOGGED = 20

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
        self, upstream: notice.UpstreamId, calls: Sequence[quarantine.SuspectCall]
    ) -> None:
        """Logs a crash and the calls that ran, those most suspected first."""
        self._metrics.count_crash()
        self._log.emit(
            "upstream.crashed",
            instance=upstream.instance,
            incarnation_of=upstream.incarnation,
            calls=len(calls),
            calls_logged=min(len(calls), MAX_CALLS_LOGGED),
        )
        for item in calls[:MAX_CALLS_LOGGED]:
            self._log_call(upstream, item)

    def _log_call(self, upstream: notice.UpstreamId, item: quarantine.SuspectCall) -> None:
        lost = item.lost
        self._log.emit(
            "upstream.crashed-under",
            lost.request_id,
            instance=upstream.instance,
            path=lost.path,
            route=self._name_route(lost.method, lost.path, lost.virtual_host),
            team=lost.team,
            fingerprint=fingerprint.format_fingerprint(lost.fingerprint),
            crashes=item.suspicion.crashes,
        )
