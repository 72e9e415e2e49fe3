"""The seeds that once failed, which are kept as regression cases."""

import pathlib

import attrs

FAILED_SEEDS = pathlib.Path(__file__).with_name("failed_seeds.txt")
COMMENT_MARK = "#"


@attrs.frozen
class Case:
    """What identifies one run.

    Attributes:
        seed: The seed.
        minutes: Time in which faults begin, in minutes.
        hosts: Number of hosts.
    """

    seed: int
    minutes: float
    hosts: int


def parse(text: str) -> list[Case]:
    """Returns the cases in lines of the form ``SEED MINUTES HOSTS  # cause``."""
    lines = (line.partition(COMMENT_MARK)[0].split() for line in text.splitlines())
    return [
        Case(int(seed), float(minutes), int(hosts)) for seed, minutes, hosts in filter(None, lines)
    ]


def read_failed() -> list[Case]:
    """Returns the kept cases."""
    return parse(FAILED_SEEDS.read_text(encoding="utf-8"))
