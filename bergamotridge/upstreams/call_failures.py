"""How calls are answered whose transfer to the local upstream failed."""

import attrs

from bergamotridge import answer, errors, verdict
from bergamotridge.upstreams import outcome, quarantine
from bergamotridge.util import http_client


@attrs.frozen
class Failure:
    """How a call whose transfer to the upstream failed is answered if it may have run."""

    outcome: outcome.Outcome
    status: int
    reason: str


REVOKED = Failure(outcome.Outcome.CANCELLED, 502, quarantine.SUSPECT_REASON)
CANCELLED = Failure(outcome.Outcome.CANCELLED, 502, "cancelled")
TIMED_OUT = Failure(outcome.Outcome.TIMED_OUT, 504, errors.DEADLINE)
OUT_OF_MEMORY = Failure(outcome.Outcome.FAILED, 502, "answer-memory")
CRASHED = Failure(outcome.Outcome.FAILED, 502, "upstream-crashed")
FAILED = Failure(outcome.Outcome.FAILED, 502, "upstream-failed")
REFUSED = Failure(outcome.Outcome.REFUSED, 502, "upstream-failed")


def answer_failure(
    error: http_client.TransferError, failure: Failure, unused_retries: int
) -> tuple[answer.Answer, outcome.Outcome]:
    """Returns answer and outcome of a call whose transfer to the upstream failed."""
    refusal = errors.CallError(
        f"the upstream did not send a complete answer: {error}; see the upstream's log",
        status=503 if error.verdict is verdict.Verdict.NOT_RUN else failure.status,
        reason=failure.reason,
        verdict=error.verdict,
        retry_after_s=1,
    )
    return answer.from_error(refusal, unused_retries), failure.outcome
