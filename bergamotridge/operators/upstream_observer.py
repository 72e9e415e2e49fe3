"""Reports what happens at the local upstream as events and metrics."""

from bergamotridge import events
from bergamotridge.operators import node_metrics
from bergamotridge.upstreams import announcement, notice


class UpstreamObserver:
    """Counts the calls that are sent to the local upstream and logs its notices."""

    def __init__(self, log: events.EventLog, metrics: node_metrics.NodeMetrics) -> None:
        """Creates an observer that reports to `log` and `metrics`."""
        self._log = log
        self._metrics = metrics
        self._last = notice.NO_NOTICE

    def record_send(self) -> None:
        """Counts a call that is sent to the upstream."""
        self._metrics.count_upstream_call()

    def record_cold(self, received: announcement.Announcement) -> None:
        """Logs that the calls of a cold upstream are bounded."""
        self._log.emit("upstream.cold", cold_s=received.cold_s, **_describe(received))

    def record_notice(self, received: notice.Notice, request_id: str) -> None:
        """Logs each part of a notice that has changed.

        Args:
            received: What the upstream now says about itself.
            request_id: Id of the request whose answer said so.
        """
        last, self._last = self._last, received
        if received.leaving and not last.leaving:
            self._log.emit("upstream.leaving", request_id)
        if received.rate_limit == last.rate_limit:
            return
        if received.rate_limit is None:
            self._log.emit("upstream.unlimited", request_id, rate_limit_before=last.rate_limit)
        else:
            self._log.emit(
                "upstream.limited",
                request_id,
                rate_limit=received.rate_limit,
                rate_limit_before=last.rate_limit,
            )

    def record_held(self, received: announcement.Announcement) -> None:
        """Logs that a report is not believed yet, and counts the start that it names."""
        self._metrics.count_held_upstream()
        self._log.emit("upstream.report-held", **_describe(received))

    def record_probe(self, asked: announcement.Announcement, result: str) -> None:
        """Logs the result of a health check."""
        self._log.emit("upstream.report-probed", cause=result, **_describe(asked))

    def record_proof(self, received: announcement.Announcement) -> None:
        """Logs that reports that were held back are believed."""
        self._log.emit("upstream.report-proven", **_describe(received))


def _describe(received: announcement.Announcement) -> dict[str, object]:
    return {
        "instance": received.instance,
        "incarnation_of": received.incarnation,
        "sequence": received.sequence,
    }
