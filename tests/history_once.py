"""Checks the history of calls with an Idempotency-Key: at most one run, and correct verdicts."""

import attrs

from bergamotridge import verdict


@attrs.define(eq=False)
class Run:
    """One call sent to an upstream.

    Attributes:
        key: Team and Idempotency-Key.
        counts: False once the upstream's verdict says that the call certainly did not run.
    """

    key: tuple[str, str]
    counts: bool = True


class OnceHistory:
    """Records the starts, ends and refusals of calls, and asserts the rules as it records them."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.uncertain_refusals = 0

    def start(self, key: tuple[str, str]) -> Run:
        """Records that a call is sent to an upstream; asserts that it has not run before."""
        assert not self.has_run(key), f"{key} runs a second time"
        run = Run(key)
        self.runs.append(run)
        return run

    def end(self, run: Run, outcome: verdict.Verdict) -> None:
        """Records the upstream's verdict on a run."""
        run.counts = not outcome.safe_to_repeat

    def refuse(self, key: tuple[str, str], reported: verdict.Verdict) -> None:
        """Records the verdict of a refusal; asserts that a call reported as not run has not run."""
        if reported.safe_to_repeat:
            assert not self.has_run(key), f"{key} has run but is reported as not run"
        else:
            self.uncertain_refusals += 1

    def has_run(self, key: tuple[str, str]) -> bool:
        """Returns True if a call may have run or may be running."""
        return any(run.counts for run in self.runs if run.key == key)
