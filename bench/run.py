"""Runs the benchmarks: each is a module of this package that defines `main(arguments) -> int`."""

import importlib
import importlib.util
import sys

BENCHES = {
    "latency": "bench.latency",
    "policy": "bench.policy.run",
    "quota": "bench.quota",
    "membership": "bench.membership",
    "once": "bench.once",
    "connections": "bench.connections",
}


def main(arguments: list[str]) -> int:
    """Runs the benchmark that the first argument names, or all that there are.

    Args:
        arguments: Name of a benchmark and its own arguments, or nothing.

    Returns:
        The exit code.
    """
    if not arguments:
        present = [name for name, module in BENCHES.items() if importlib.util.find_spec(module)]
        return max(main([name]) for name in present)
    name, *rest = arguments
    if name not in BENCHES or importlib.util.find_spec(BENCHES[name]) is None:
        print(f"unknown benchmark '{name}'; accepted: {', '.join(BENCHES)}", file=sys.stderr)
        return 2
    return importlib.import_module(BENCHES[name]).main(rest)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
