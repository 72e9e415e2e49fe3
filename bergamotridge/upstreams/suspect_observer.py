"""Who is told of crashes and of suspects, for events and metrics."""

from collections.abc import Sequence
from typing import Protocol

from bergamotridge import errors
from bergamotridge.upstreams import notice, suspect_run


class Observer(Protocol):
    """Is told of crashes and suspects, for events and metrics."""

    def record_crash(
        self, upstream: notice.UpstreamId, calls: Sequence[suspect_run.SuspectCall]
    ) -> None:
        """Records a crash and the calls that ran, those most suspected first."""

    def record_refusal(self, request_id: str, fingerprint: int, refusal: errors.CallError) -> None:
        """Records that a suspect was refused."""

    def record_trial_start(self, run: suspect_run.Run) -> None:
        """Records that a suspect is run."""

    def record_trial_end(self, run: suspect_run.Run) -> None:
        """Records that the run of a suspect has ended."""

    def record_revocation(self, run: suspect_run.Run) -> None:
        """Records that a running suspect is cancelled."""


class NoObserver:
    """Ignores everything."""

    def record_crash(
        self, upstream: notice.UpstreamId, calls: Sequence[suspect_run.SuspectCall]
    ) -> None:
        """Ignores a crash."""

    def record_refusal(self, request_id: str, fingerprint: int, refusal: errors.CallError) -> None:
        """Ignores a refusal."""

    def record_trial_start(self, run: suspect_run.Run) -> None:
        """Ignores a trial."""

    def record_trial_end(self, run: suspect_run.Run) -> None:
        """Ignores a trial."""

    def record_revocation(self, run: suspect_run.Run) -> None:
        """Ignores a revocation."""
