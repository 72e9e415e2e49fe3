"""Runs the benchmarks: each is a module of this package that defines `main(arguments) -> int`."""

import importlib
import importlib.util
import sys

BENCHMARKS = {
    "latency": "bench.latency",
    "call_cost": "bench.call_cost",
    "policy": "bench.policy.run",
    "even_load": "bench.even_load",
    "quota": "bench.quota",
    "membership": "bench.membership",
    "once": "bench.once",
    "connections": "bench.connections",
    "restarts": "bench.restarts",
}


def main(arguments: list[str]) -> int:
    """Runs the benchmark that the first argument names, or all of them.

    Args:
        arguments: Name of a benchmark and its own arguments, or nothing.

    Returns:
        The exit code: the largest of all benchmarks, or 2 if the name is unknown.
    """
    if not arguments:
        existing = [name for name, module in BENCHMARKS.items() if importlib.util.find_spec(module)]
        return max(main([name]) for name in existing)
    name, *rest = arguments
    if name not in BENCHMARKS or importlib.util.find_spec(BENCHMARKS[name]) is None:
        print(f"unknown benchmark '{name}'; accepted: {', '.join(BENCHMARKS)}", file=sys.stderr)
        return 2
    return importlib.import_module(BENCHMARKS[name]).main(rest)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
