"""Checker of histories of calls with an Idempotency-Key: at most one run, true verdicts."""

import attrs

from bergamotridge import verdict


@attrs.define(eq=False)
class Run:
    """One start of a call at an upstream; it counts as run unless it surely did not."""

    key: tuple[str, str]
    counts: bool = True


class OnceHistory:
    """Records starts and answers; every method checks what it records."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.doubts = 0

    def start(self, key: tuple[str, str]) -> Run:
        """Records that a call is sent to an upstream."""
        assert not self.has_run(key), f"{key} runs a second time"
        run = Run(key)
        self.runs.append(run)
        return run

    def end(self, run: Run, outcome: verdict.Verdict) -> None:
        """Records what the upstream vouched for."""
        run.counts = not outcome.safe_to_repeat

    def refuse(self, key: tuple[str, str], told: verdict.Verdict) -> None:
        """Records the verdict of a refusal."""
        if told.safe_to_repeat:
            assert not self.has_run(key), f"{key} is said not to have run"
        else:
            self.doubts += 1

    def has_run(self, key: tuple[str, str]) -> bool:
        """Returns whether a call may have run or be running."""
        return any(run.counts for run in self.runs if run.key == key)
