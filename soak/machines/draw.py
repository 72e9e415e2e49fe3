"""Draws from a seed what is done to the machines, and when."""

import random

import attrs

SERVICES = ("alpha", "beta", "gamma", "delta")
MEAN_GAP_S = 1.3
WEIGHTS = {
    "stop": 10,
    "rolling": 2,
    "kill": 2,
    "kill all": 0.7,
    "reload": 2,
    "leave": 3,
    "configure": 3,
    "store": 2,
}


@attrs.frozen
class Step:
    """One scenario; `values` are its drawn details."""

    at: float
    kind: str
    machine: int
    values: dict


@attrs.frozen
class Plan:
    """All that is drawn for a seed: `clients` are pairs of machine and number of the style."""

    seed: int
    duration_s: float
    machines: int
    steps: tuple[Step, ...]
    clients: tuple[tuple[int, int], ...]

    def to_lines(self) -> list[str]:
        """Returns the plan as text."""
        return [f"{step.at:6.2f} {step.kind} {step.machine} {step.values}" for step in self.steps]


def draw_plan(seed: int, duration_s: float, machines: int, styles: int, each: int = 4) -> Plan:
    """Draws the plan of a seed, with `each` clients on each machine."""
    rng = random.Random(seed)
    steps, at, kinds = [], 0.0, tuple(WEIGHTS)
    while (at := at + rng.expovariate(1.0 / MEAN_GAP_S)) < duration_s:
        kind = rng.choices(kinds, tuple(WEIGHTS.values()))[0]
        values = _DRAWN[kind](rng, machines)
        steps.append(Step(round(at, 3), kind, rng.randint(1, machines), values))
    clients = [
        (number, rng.randrange(styles)) for number in range(1, machines + 1) for _ in "x" * each
    ]
    return Plan(seed, duration_s, machines, tuple(steps), tuple(clients))


def _draw_stop(rng: random.Random, machines: int) -> dict:
    """Draws the signals after SIGTERM, and when the next process starts.

    `burst` lists clients of drawn styles that begin so long after SIGTERM; `overlap` is the start
    of the next process after SIGTERM, None if it waits for the end of the last.
    """
    also = [
        (round(rng.uniform(0.0, 4.0), 3), rng.choice(("SIGTERM", "SIGHUP", "SIGHUP")))
        for _ in range(rng.choice((0, 0, 1, 2, 4)))
    ]
    if rng.random() < 0.1:
        also.append((round(rng.uniform(0.0, 5.0), 3), "SIGKILL"))
    return {
        "also": sorted(also),
        "burst": [
            (round(rng.uniform(0.0, 1.5), 3), rng.randrange(8)) for _ in range(rng.choice((6, 16)))
        ],
        "lead": round(rng.uniform(0.05, 1.5), 3),
        "overlap": round(rng.uniform(0.0, 5.0), 3) if rng.random() < 0.3 else None,
        "pause": round(rng.uniform(0.05, 2.0), 3),
    }


def _draw_rolling(rng: random.Random, machines: int) -> dict:
    count = rng.randint(2, max(2, machines // 3))
    return {"count": count, "gap": round(rng.uniform(0.0, 1.5), 3), **_draw_stop(rng, machines)}


def _draw_leave(rng: random.Random, machines: int) -> dict:
    return {
        "late": round(rng.uniform(0.2, 4.0), 3) if rng.random() < 0.6 else 0.0,
        "more": round(rng.uniform(0.0, 2.0), 3),
        "says": rng.random() < 0.6,
        "node": rng.choice(("stays", "stops", "killed early")),
        "early": round(rng.uniform(0.0, 1.0), 3),
        "service": rng.choice(SERVICES),
        "pause": round(rng.uniform(2.0, 5.0), 3),
    }


def _draw_pause(rng: random.Random, machines: int) -> dict:
    return {"pause": round(rng.uniform(0.05, 1.5), 3)}


def _draw_store(rng: random.Random, machines: int) -> dict:
    return {
        "trouble": rng.choice(("silent", "busy", "slow")),
        "for": round(rng.uniform(0.5, 5.0), 3),
    }


def _draw_reload(rng: random.Random, machines: int) -> dict:
    return {"gaps": [round(rng.expovariate(5.0), 3) for _ in range(rng.randint(1, 8))]}


def _draw_configure(rng: random.Random, machines: int) -> dict:
    return {"count": rng.randint(1, 4), "gap": round(rng.uniform(0.05, 0.6), 3)}


_DRAWN = {
    "stop": _draw_stop,
    "rolling": _draw_rolling,
    "kill": _draw_pause,
    "kill all": _draw_pause,
    "reload": _draw_reload,
    "leave": _draw_leave,
    "configure": _draw_configure,
    "store": _draw_store,
}
