"""The result of a call, and the HTTP response in which a refusal is sent to callers and nodes."""

import math

import attrs

from bergamotridge import errors, verdict
from bergamotridge.nodes import load
from bergamotridge.upstreams import notice
from bergamotridge.util import hlc, message

GATEWAY_TIMEOUT = 504
VERDICT_HEADER = verdict.HEADER.lower().encode()


@attrs.define
class Answer:
    """The result of one call at one upstream; the response body is complete.

    Attributes:
        response: The upstream's response, or the refusal.
        verdict: Whether the call may have run at an upstream.
        reason: Reason for the refusal or failure, "" if an upstream answered.
        unused: Number of retries granted with the call that were not spent.
        report: Load report of the node on the upstream's host, None if it sent none.
        thresholds: Load shedding thresholds of the services that the upstream depends on, as
            encoded by `ThresholdTable.encode`.
        stamp: Hybrid logical time of the answer, None if it is not known.
        retry_after_s: Seconds after which the caller may try again, None if no time was given.
        host: Host that answered, "" if the call was not sent to a host.
        upstream_notice: What the upstream on that host says about itself, None if nothing.
    """

    response: message.Response
    verdict: verdict.Verdict
    reason: str = ""
    unused: int = 0
    report: load.LoadReport | None = None
    thresholds: str = ""
    stamp: hlc.Stamp | None = None
    retry_after_s: float | None = None
    host: str = ""
    upstream_notice: notice.UpstreamNotice | None = None

    def set_doubt(self, outcome: verdict.Verdict) -> None:
        """Replaces the verdict of a refusal, as the call ran or may have run before it.

        The status of a deadline then is no longer one that promises that the call did not run.
        """
        self.verdict = outcome
        if self.reason == errors.DEADLINE:
            self.response.status = GATEWAY_TIMEOUT


def from_error(error: errors.CallError, unused: int = 0) -> Answer:
    """Returns the answer for a call that failed with `error`.

    Args:
        error: Gives the status, reason, verdict, retry delay and the text of the body.
        unused: Number of retries granted with the call that were not spent.
    """
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"bergamotridge-reason", error.reason.encode()),
    ]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", b"%d" % max(1, math.ceil(error.retry_after_s))))
    body = f"{error}\n".encode()
    response = message.Response(error.status, headers, body)
    return Answer(response, error.verdict, error.reason, unused, retry_after_s=error.retry_after_s)


def fault_before_send() -> errors.CallError:
    """Returns the error for a call that a fault of this node ended before it was sent anywhere."""
    return errors.CallError(
        "this node failed before it sent the call; see its log",
        status=503,
        reason="node-fault",
        retry_after_s=1,
    )


def fixed_refusal(status: int, text: str, reason: str) -> message.Response:
    """Returns the response that refuses a call before it runs and allows a retry after 1 second.

    Args:
        status: HTTP status.
        text: Text of the body.
        reason: Reason for the refusal, as in metrics and events.
    """
    error = errors.CallError(text, status=status, reason=reason, retry_after_s=1)
    response = from_error(error).response
    response.headers.append((VERDICT_HEADER, error.verdict.value.encode()))
    return response
