"""Claims of calls that run at most once: time and memory of a claim, and writes of three ways.

Run ``python -m bench.once``. Time and memory are measured; the writes are worked out from the
share of payments.
"""

import sys
import time
import tracemalloc
from collections.abc import Sequence

from bergamotridge import verdict
from bergamotridge.callers import answers, claims

CALLS_PER_S = 35_000
PAYMENT_SHARES = (0.01, 0.05, 0.10)
NODES = 630
COUNT = 20_000
BODY = b"x" * 500
SHARDS = 16
APPENDS_PER_S = 20
KIB = 1024


def _measure() -> None:
    held = claims.Claims("host", 1, capacity=COUNT)
    tracemalloc.start()
    keys = [held.issue(0.0) for _ in range(COUNT)]
    before = tracemalloc.get_traced_memory()[0]
    _claim(held, keys)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    held = claims.Claims("host", 1, capacity=COUNT)
    keys = [held.issue(0.0) for _ in range(COUNT)]
    started = time.process_time()
    _claim(held, keys)
    spent = time.process_time() - started
    print(f"claim and finish: {1e6 * spent / COUNT:.1f} us; memory {used / COUNT / KIB:.2f} KiB")


def _claim(held: claims.Claims, keys: Sequence[str]) -> None:
    for key in keys:
        answer = answers.StoredAnswer(200, (), bytes(bytearray(BODY)))
        held.begin(key, "team", "pay", 1.0).finish(verdict.Verdict.RUN, answer, 1.0)


def main(argv: Sequence[str]) -> int:
    """Prints the table."""
    del argv
    _measure()
    print("payments  per second  per node  writes/s: one create each  claim logs  handed out")
    for share in PAYMENT_SHARES:
        rate = CALLS_PER_S * share
        print(
            f"{share:8.0%}  {rate:10.0f}  {rate / NODES:8.1f}  {2 * rate:25.0f}"
            f"  {SHARDS * APPENDS_PER_S:10d}  {0:10d}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
