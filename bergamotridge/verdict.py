"""Verdicts: whether a request may have run."""

import enum

HEADER = "Bergamotridge-Verdict"


class Verdict(enum.Enum):
    """Says whether a call may have run at an upstream; the value is its form in the header.

    NOT_RUN is claimed only when no byte of the call can have reached an upstream, or when the
    upstream itself vouches for it. All doubt is MAY_HAVE_RUN.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RUN = "run"

    @property
    def safe_to_repeat(self) -> bool:
        """True if a call that must run at most once may be sent again."""
        return self is Verdict.NOT_RUN


def parse(text: str | None) -> Verdict:
    """Returns the verdict that a header value names; anything unknown is MAY_HAVE_RUN."""
    return _BY_VALUE.get(text, Verdict.MAY_HAVE_RUN)


_BY_VALUE = {verdict.value: verdict for verdict in Verdict}
