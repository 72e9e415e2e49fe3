"""Verdicts: whether a call may have run at an upstream."""

import enum

HEADER = "Bergamotridge-Verdict"


class Verdict(enum.Enum):
    """Says whether a call may have run at an upstream; the value is its form in the header.

    NOT_RUN is returned only if no byte of the call can have reached an upstream, or if the
    upstream itself reports that the call did not run. Every uncertain case is MAY_HAVE_RUN.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RUN = "run"

    @property
    def safe_to_repeat(self) -> bool:
        """True if a call that must run at most once may be sent again."""
        return self is Verdict.NOT_RUN


def parse(text: str | None) -> Verdict:
    """Returns the verdict for a header value; MAY_HAVE_RUN if the value is unknown or missing."""
    return _BY_VALUE.get(text, Verdict.MAY_HAVE_RUN)


_BY_VALUE = {verdict.value: verdict for verdict in Verdict}
