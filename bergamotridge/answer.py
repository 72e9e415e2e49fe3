"""What comes back from a call, and how a refusal is told to callers and other nodes."""

import math

import attrs

from bergamotridge import errors, verdict
from bergamotridge.nodes import load
from bergamotridge.util import hlc, message

VERDICT_HEADER = verdict.HEADER.lower().encode()


@attrs.define
class Answer:
    """The end of one call at one upstream, whole.

    Attributes:
        response: What the upstream answered, or the refusal.
        verdict: Whether the call may have run.
        reason: Why it was refused or failed, "" if an upstream answered.
        unused: Retries of the grant that were not spent.
        report: Load report of the node beside the upstream, None if there is none.
        thresholds: Thresholds of the services below, in the form of `ThresholdTable.encode`.
        stamp: Hybrid logical time of the answer, None if unknown.
        retry_after_s: Seconds after which the caller may try again, None if not given.
        host: Host that gave it, "" if no host was asked.
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


def refuse(error: errors.CallError, unused: int = 0) -> Answer:
    """Returns the answer for a call that ended in `error`."""
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"bergamotridge-reason", error.reason.encode()),
    ]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", b"%d" % max(1, math.ceil(error.retry_after_s))))
    body = f"{error}\n".encode()
    response = message.Response(error.status, headers, body)
    return Answer(response, error.verdict, error.reason, unused, retry_after_s=error.retry_after_s)


def refusal(status: int, text: str, reason: str) -> message.Response:
    """Returns a fixed refusal of a call that did not run."""
    error = errors.CallError(text, status=status, reason=reason, retry_after_s=1)
    response = refuse(error).response
    response.headers.append((VERDICT_HEADER, error.verdict.value.encode()))
    return response
