"""Calls that the quarantine lets through to the local upstream, and those that it lost."""

import attrs

from bergamotridge import call
from bergamotridge.nodes import suspect_sharing, suspects
from bergamotridge.upstreams import crash_detector
from bergamotridge.util import cancellation, message


@attrs.frozen
class SuspectCall:
    """A call that ran at an upstream when it crashed.

    Attributes:
        lost: The call.
        suspicion: How far requests like it are suspected after the crash.
    """

    lost: crash_detector.LostCall
    suspicion: suspects.Suspicion


@attrs.define(eq=False)
class Run:
    """A call on its way to the local upstream.

    Attributes:
        fingerprint: Fingerprint of its request.
        context: Context of the call.
        request: Request of the call.
        token: Cancelled when the call is cancelled or revoked.
        trial: Answer of the arbiter if the call is a trial, else None.
        suspicion: How far requests like it were suspected when it was admitted.
        sent: True from when it is sent to the upstream.
        completed: True if the upstream answered it.
        revoked: True if it was cancelled since upstreams crash under requests like it.
    """

    fingerprint: int
    context: call.CallContext
    request: message.Request
    token: cancellation.Token
    trial: suspect_sharing.TrialAnswer | None = None
    suspicion: suspects.Suspicion = suspects.NOT_SUSPECTED
    sent: bool = False
    completed: bool = False
    revoked: bool = False
