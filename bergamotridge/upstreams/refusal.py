"""Errors for calls that are refused before they run."""

from bergamotridge import errors
from bergamotridge.nodes import load

MIN_RETRY_AFTER_S = 0.5
RETRY_AFTER_JITTER_S = 1.5


def build_refusal(
    reason: str, message: str, request_id: str, retry_after_s: float | None = None
) -> errors.CallError:
    """Returns the error for a call that is refused before it runs.

    Args:
        reason: Fixed reason code for metrics and events.
        message: Text of the error.
        request_id: Id of the caller's request; the jitter that spreads retries is derived from it.
        retry_after_s: Seconds after which the caller may retry; computed with jitter if None.
    """
    if retry_after_s is None:
        retry_after_s = MIN_RETRY_AFTER_S + RETRY_AFTER_JITTER_S * load.request_position(request_id)
    return errors.CallError(message, status=503, reason=reason, retry_after_s=retry_after_s)


def build_late(request_id: str) -> errors.CallError:
    """Returns the error for a call that cannot finish in time."""
    return build_refusal(
        "deadline", "the call cannot finish before its deadline; allow it more time", request_id
    )


def build_unavailable(request_id: str, *, is_draining: bool) -> errors.CallError:
    """Returns the error for a call to an upstream that is draining or not ready."""
    if is_draining:
        return build_refusal(
            "draining", "the upstream on this host is draining; retry later", request_id
        )
    return build_refusal(
        "no-upstream", "no upstream is ready on this host; retry later", request_id
    )


def build_above_threshold(request_id: str) -> errors.CallError:
    """Returns the error for a request that is above the admitted share."""
    return build_refusal(
        "shed", "the request is above the threshold of this upstream; retry later", request_id
    )


def build_queue_full(request_id: str) -> errors.CallError:
    """Returns the error for a call that found no room in the admission queue."""
    return build_refusal(
        "shed", "the admission queue of the upstream is full; retry later", request_id
    )


def build_evicted(request_id: str) -> errors.CallError:
    """Returns the error for a call that was evicted from the admission queue."""
    return build_refusal(
        "shed",
        "evicted from the admission queue by a call that takes precedence; retry later",
        request_id,
    )
