"""Where the quarantine learns which requests are suspects, and who decides on trials."""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from bergamotridge.nodes import suspect_sharing, suspects, trials


class Sharing(Protocol):
    """What the nodes beside the upstreams of a service know of suspects."""

    @property
    def has_suspects(self) -> bool:
        """True if any request may be a suspect."""

    def add_listener(self, on_strong_suspects: Callable[[Sequence[int]], None]) -> None:
        """Registers a callback for fingerprints whose running calls should be cancelled."""

    def suspicion(self, fingerprint: int) -> suspects.Suspicion:
        """Returns how far a fingerprint is suspected."""

    async def record_crash(self, evidence: Iterable[suspects.Evidence]) -> None:
        """Records a crash under the requests that ran, and tells the other nodes."""

    async def request_trial(
        self, fingerprint: int, lifetime_s: float
    ) -> suspect_sharing.TrialAnswer:
        """Asks whether a request may run."""

    def finish_trial(self, trial: suspect_sharing.TrialAnswer, completed: bool) -> None:
        """Tells that a trial has ended, and whether the request completed."""


class NoSharing:
    """Suspects nothing, whatever crashes."""

    has_suspects = False

    def add_listener(self, on_strong_suspects: Callable[[Sequence[int]], None]) -> None:
        """Ignores the listener."""

    def suspicion(self, fingerprint: int) -> suspects.Suspicion:
        """Suspects nothing."""
        del fingerprint
        return suspects.NOT_SUSPECTED

    async def record_crash(self, evidence: Iterable[suspects.Evidence]) -> None:
        """Ignores a crash."""

    async def request_trial(
        self, fingerprint: int, lifetime_s: float
    ) -> suspect_sharing.TrialAnswer:
        """Lets the request run."""
        del lifetime_s
        return suspect_sharing.TrialAnswer(fingerprint, trials.FREE)

    def finish_trial(self, trial: suspect_sharing.TrialAnswer, completed: bool) -> None:
        """Ignores the end of a trial."""
