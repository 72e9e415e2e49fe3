"""Rates of teams: wrongful refusals, and the load on quota holders and on the platform.

Run ``python -m bench.quota [refusals|slopes|herd]``. Refusals and herd run the real decisions in
virtual time; slopes runs over gRPC on loopback.
"""

import sys
from collections.abc import Callable, Sequence

from bench import quota_herd, quota_refusals, quota_slopes

PARTS: dict[str, Callable[[], None]] = {
    "refusals": quota_refusals.run,
    "slopes": quota_slopes.run,
    "herd": quota_herd.run,
}


def main(argv: Sequence[str]) -> int:
    """Runs the named parts, or all of them, and returns the exit code."""
    for name in argv or PARTS:
        PARTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
