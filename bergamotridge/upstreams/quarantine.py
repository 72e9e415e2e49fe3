"""Quarantine: keeps requests under which upstreams crash away from the local upstream."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence

import xxhash

from bergamotridge import call, errors
from bergamotridge.nodes import fingerprint, suspect_sharing, suspects, trials
from bergamotridge.upstreams import announcement as announcements
from bergamotridge.upstreams import (
    crash_detector,
    notice,
    recent_completions,
    refusal,
    suspect_lanes,
    suspect_observer,
    suspect_run,
    suspect_source,
)
from bergamotridge.util import cancellation, message

MAX_WAIT_S = 0.6  # For other trials; longer than the pause after a crash and one short run.
MAX_WAIT_FRACTION = 0.5  # Of the time left until the deadline of the call.
MAX_WAITING_CALLS = 64
POLL_INTERVAL_S = 0.03

# Takes the start of the upstream that has crashed.
OnCrash = Callable[[notice.UpstreamId], None]

HELD_REASON = "crashes-upstreams"
SUSPECT_REASON = "crash-suspect"


class Quarantine:
    """Decides when a suspect runs at the local upstream, and reports crashes under calls.

    A suspect runs only as a trial, which its arbiter grants to one call at a time over the fleet.
    Until then it waits for a short time. One that is held back, or that waits for too long, is
    refused. Belongs to one event loop.
    """

    def __init__(
        self,
        host: str = "",
        fingerprinter: fingerprint.Fingerprinter | None = None,
        sharing: suspect_source.Sharing | None = None,
        observer: suspect_observer.Observer | None = None,
        clock: Callable[[], float] = time.monotonic,
        listening: Callable[[str], Awaitable[bool]] = crash_detector.is_listening,
    ) -> None:
        """Creates a quarantine.

        Args:
            host: Name of this host.
            fingerprinter: Computes the fingerprints of requests; one without a secret if None.
            sharing: What the nodes know of suspects; nothing is ever suspected if None.
            observer: Is told of crashes and suspects, if not None.
            clock: Returns the monotonic time in seconds.
            listening: Returns whether an address takes connections.
        """
        self._host = host
        self._fingerprinter = fingerprinter or fingerprint.Fingerprinter("")
        self._sharing = sharing or suspect_source.NoSharing()
        self._observer = observer or suspect_observer.NoObserver()
        self._clock = clock
        self._detector = crash_detector.CrashDetector(self._report_crash, listening, clock)
        self._lanes = suspect_lanes.SuspectLanes()
        self._completions = recent_completions.RecentCompletions()
        self._running: dict[int, list[suspect_run.Run]] = {}
        self._waiting = 0
        self._event_loop: asyncio.AbstractEventLoop | None = None
        self._on_crash: OnCrash = _ignore_crash
        self._sharing.add_listener(self._schedule_revocation)

    def set_crash_listener(self, on_crash: OnCrash) -> None:
        """Registers a callback for each crash of the local upstream, called before others know."""
        self._on_crash = on_crash

    def create_run(
        self,
        service: str,
        context: call.CallContext,
        request: message.Request,
        token: cancellation.Token,
    ) -> suspect_run.Run:
        """Returns the run of a call, which must be passed to `finish` when it has ended.

        Args:
            service: Service that the call is for.
            context: Context of the call.
            request: Request of the call.
            token: Cancelled when the call is cancelled.
        """
        key = self._fingerprinter.compute(service, context.virtual_host, request)
        return suspect_run.Run(key, context, request, cancellation.Token(token))

    async def admit(self, run: suspect_run.Run) -> None:
        """Waits until a call may run, as a trial if it is a suspect.

        Raises:
            CallError: The call is refused; the verdict is NOT_RUN.
        """
        if not self._sharing.has_suspects or not self._sharing.suspicion(run.fingerprint).crashes:
            return
        try:
            await self._wait_for_trial(run)
        except errors.CallError as error:
            self._observer.record_refusal(run.context.request_id, run.fingerprint, error)
            raise

    def start(self, run: suspect_run.Run) -> None:
        """Records that a call is sent to the upstream.

        Raises:
            CallError: The call has become a suspect since it was admitted; the verdict is NOT_RUN.
        """
        if run.trial is None and self._sharing.has_suspects:
            suspicion = self._sharing.suspicion(run.fingerprint)
            if suspicion.crashes:
                _check_held(suspicion, self._clock())
                raise _build_suspect_refusal(run.context.request_id)
        run.sent = True
        self._event_loop = asyncio.get_running_loop()
        self._running.setdefault(run.fingerprint, []).append(run)

    def finish(self, run: suspect_run.Run) -> None:
        """Ends a run, whether it was sent or not."""
        run.token.close()
        if run.sent:
            self._remove(run)
        if run.completed:
            self._completions.add(run.fingerprint, self._clock())
        if run.trial is not None:
            self._lanes.leave(run.fingerprint)
            self._sharing.finish_trial(run.trial, run.completed)
            self._observer.record_trial_end(run)

    def _remove(self, run: suspect_run.Run) -> None:
        running = self._running[run.fingerprint]
        running.remove(run)
        if not running:
            del self._running[run.fingerprint]

    def _schedule_revocation(self, fingerprints: Sequence[int]) -> None:
        """Revokes running calls soon; may be called from any thread."""
        if self._event_loop is not None:
            self._event_loop.call_soon_threadsafe(self._revoke, fingerprints)

    def _revoke(self, fingerprints: Sequence[int]) -> None:
        """Cancels calls before the upstream crashes under them."""
        now = self._clock()
        for item in fingerprints:
            is_held = now < self._sharing.suspicion(item).held_until
            for run in list(self._running.get(item, ())):
                may_cancel = is_held or (run.context.repeatable and run.trial is None)
                if may_cancel and not run.revoked:
                    run.revoked = True
                    self._observer.record_revocation(run)
                    run.token.cancel()

    async def _wait_for_trial(self, run: suspect_run.Run) -> None:
        if self._waiting >= MAX_WAITING_CALLS:
            raise _build_suspect_refusal(run.context.request_id)
        self._waiting += 1
        try:
            await self._poll(run)
        finally:
            self._waiting -= 1

    async def _poll(self, run: suspect_run.Run) -> None:
        """Asks for a trial until one is granted, the call is no suspect, or time is up."""
        key, now = run.fingerprint, self._clock()
        give_up_at = now + min(MAX_WAIT_S, MAX_WAIT_FRACTION * run.context.time_left(now))
        while True:
            suspicion = self._sharing.suspicion(key)
            if not suspicion.crashes:
                return
            _check_held(suspicion, self._clock())
            pause_s = POLL_INTERVAL_S
            if self._lanes.try_enter(key, suspicion.crashes):
                answer = await self._ask(run)
                decision = answer.decision
                if decision.ruling is trials.Ruling.TRIAL:
                    run.trial, run.suspicion = answer, suspicion
                    self._observer.record_trial_start(run)
                    return
                if decision.ruling is trials.Ruling.FREE:
                    return
                if decision.ruling is trials.Ruling.HELD:
                    raise _build_held_refusal(decision.wait_s)
                pause_s = max(pause_s, decision.wait_s)
            is_tried_elsewhere = suspicion.crashes >= suspects.CRASHES_TO_HOLD
            is_late = self._clock() + pause_s > give_up_at
            if run.token.cancelled or is_tried_elsewhere or is_late:
                raise _build_suspect_refusal(run.context.request_id)
            await asyncio.sleep(pause_s)

    async def _ask(self, run: suspect_run.Run) -> suspect_sharing.TrialAnswer:
        """Asks the arbiter, and leaves the lane unless it grants a trial."""
        is_granted = False
        try:
            time_left_s = run.context.time_left(self._clock())
            granted = await self._sharing.request_trial(run.fingerprint, time_left_s)
            is_granted = granted.decision.ruling is trials.Ruling.TRIAL
        finally:
            if not is_granted:
                self._lanes.leave(run.fingerprint)
        return granted

    def record_abandoned(self, run: suspect_run.Run, upstream: notice.UpstreamId) -> None:
        """Records that the connection was closed on a call that had been sent.

        Args:
            run: The call.
            upstream: Start of the upstream that it was sent to.
        """
        self._detector.record_abandoned(upstream, _lost_call(run))

    async def record_lost_connection(
        self, run: suspect_run.Run, current: announcements.Announcement
    ) -> bool:
        """Returns whether the upstream has crashed while it ran a call that lost its connection.

        Args:
            run: The call.
            current: Latest announcement of the upstream.
        """
        return await self._detector.has_crashed(current, _lost_call(run))

    async def record_refused_connection(self, current: announcements.Announcement) -> bool:
        """Returns whether the upstream, which takes no connection, has crashed."""
        return await self._detector.has_crashed(current, None)

    async def _report_crash(self, found: crash_detector.UpstreamCrash) -> None:
        if not found.calls:
            # An upstream that takes no connection may also not have begun to listen.
            return
        self._on_crash(found.upstream)
        await self._sharing.record_crash(self._build_evidence(found, self._clock()))
        calls = [
            suspect_run.SuspectCall(item, self._sharing.suspicion(item.fingerprint))
            for item in found.calls
        ]
        calls.sort(key=lambda item: item.suspicion.crashes, reverse=True)
        self._observer.record_crash(found.upstream, calls)

    def _build_evidence(
        self, found: crash_detector.UpstreamCrash, now: float
    ) -> list[suspects.Evidence]:
        crash_id = _crash_id(self._host, found.upstream)
        alone = {item.fingerprint for item in found.calls if item.ran_alone}
        evidence = []
        for key in {item.fingerprint for item in found.calls}:
            doubtful = key not in alone and self._completions.has(key, now)
            evidence.append(suspects.Evidence(key, (suspects.Crash(crash_id, now, doubtful),)))
        return evidence


def _lost_call(run: suspect_run.Run) -> crash_detector.LostCall:
    context = run.context
    return crash_detector.LostCall(
        context.request_id,
        context.team,
        run.request.method.decode("latin-1"),
        context.virtual_host,
        run.request.path,
        run.fingerprint,
        run.trial is not None and run.suspicion.crashes > 1,
    )


def _ignore_crash(upstream: notice.UpstreamId) -> None:
    del upstream


def _crash_id(host: str, upstream: notice.UpstreamId) -> int:
    identity = f"{host}\n{upstream.instance}\n{upstream.incarnation}"
    return xxhash.xxh3_64_intdigest(identity.encode())


def _check_held(suspicion: suspects.Suspicion, now: float) -> None:
    """Raises CallError with the verdict NOT_RUN if a suspect is held back."""
    if now < suspicion.held_until:
        raise _build_held_refusal(suspicion.held_until - now)


def _build_held_refusal(retry_after_s: float) -> errors.CallError:
    return errors.CallError(
        f"{suspects.CRASHES_TO_HOLD} or more upstreams have crashed under requests like this one, "
        "so it is held back; retry when the upstreams have been mended",
        status=503,
        reason=HELD_REASON,
        retry_after_s=retry_after_s,
    )


def _build_suspect_refusal(request_id: str) -> errors.CallError:
    return refusal.build_refusal(
        SUSPECT_REASON,
        "an upstream has crashed under a request like this one, and others like it are tried "
        "first; retry later",
        request_id,
    )
