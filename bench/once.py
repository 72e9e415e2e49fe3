"""Claims of calls that run at most once: time and memory of a claim, writes to the platform.

Run ``python -m bench.once``. Time and memory are measured. The writes per second of three designs
(an object created for each claim, logs of claims, keys handed out by the nodes) are calculated
from the share of payments among the calls.
"""

import sys
import time
import tracemalloc
from collections.abc import Sequence

from bergamotridge import verdict
from bergamotridge.callers import answers, claims

FLEET_CALLS_PER_S = 35_000
PAYMENT_SHARES = (0.01, 0.05, 0.10)
NODES = 630
CLAIM_COUNT = 20_000
ANSWER_BODY = b"x" * 500
LOG_SHARDS = 16
APPENDS_PER_SHARD_PER_S = 20
BYTES_PER_KIB = 1024


def _measure_claims() -> None:
    claim_table = claims.Claims("host", 1, capacity=CLAIM_COUNT)
    tracemalloc.start()
    issued_keys = [claim_table.issue(0.0) for _ in range(CLAIM_COUNT)]
    bytes_before = tracemalloc.get_traced_memory()[0]
    _begin_and_finish(claim_table, issued_keys)
    used_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    claim_table = claims.Claims("host", 1, capacity=CLAIM_COUNT)
    issued_keys = [claim_table.issue(0.0) for _ in range(CLAIM_COUNT)]
    started = time.process_time()
    _begin_and_finish(claim_table, issued_keys)
    used_cpu_s = time.process_time() - started
    print(
        f"claim and finish: {1e6 * used_cpu_s / CLAIM_COUNT:.1f} us; "
        f"memory {used_bytes / CLAIM_COUNT / BYTES_PER_KIB:.2f} KiB"
    )


def _begin_and_finish(claim_table: claims.Claims, issued_keys: Sequence[str]) -> None:
    for key in issued_keys:
        answer = answers.StoredAnswer(200, (), bytes(bytearray(ANSWER_BODY)))
        claim_table.begin(key, "team", "pay", 1.0).finish(verdict.Verdict.RUN, answer, 1.0)


def main(argv: Sequence[str]) -> int:
    """Measures the claims, prints the table and returns the exit code."""
    del argv
    _measure_claims()
    print("payments  per second  per node  writes/s: one create each  claim logs  handed out")
    for share in PAYMENT_SHARES:
        rate = FLEET_CALLS_PER_S * share
        print(
            f"{share:8.0%}  {rate:10.0f}  {rate / NODES:8.1f}  {2 * rate:25.0f}"
            f"  {LOG_SHARDS * APPENDS_PER_SHARD_PER_S:10d}  {0:10d}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
