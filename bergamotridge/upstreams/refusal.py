"""Errors for calls that are refused before they run."""

import xxhash

from bergamotridge import errors
from bergamotridge.nodes import load

MIN_RETRY_AFTER_S = 0.5
RETRY_AFTER_JITTER_S = 1.5
# Of a caller that is told to return by the share of requests that are admitted.
MIN_RETURN_S = 0.25
MAX_RETURN_S = 2.0
# The position of a request decides whether it is refused, so that those of refused requests are
# alike. Another seed of the hash gives a position that is independent of it.
_RETURN_SEED = 1


def compute_return_s(request_id: str, share: float) -> float:
    """Returns the seconds after which the caller of a refused request may return.

    A caller that is likely to be admitted next time returns soon enough to meet its target latency.
    The fewer are admitted, the longer the time over which returns are spread.

    Args:
        request_id: Id of the refused request.
        share: Share of requests that are admitted, 0.0 to 1.0.
    """
    position = xxhash.xxh32_intdigest(request_id.encode(), seed=_RETURN_SEED) / 2**32
    refused = 1.0 - min(1.0, max(0.0, share))
    return MIN_RETURN_S + (MAX_RETURN_S - MIN_RETURN_S) * refused * position


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
