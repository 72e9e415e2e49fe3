"""Draws from a seed what is done to the machines, and when."""

import random
from collections.abc import Collection

import attrs

from soak.machines import (
    server_faults,
    steps_clock,
    steps_crowd,
    steps_far,
    steps_late,
    steps_machines,
    steps_press,
    steps_resets,
    steps_servers,
    steps_signals,
    steps_starve,
    steps_store,
    steps_teams,
)

MEAN_GAP_S = 1.3


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


def draw_plan(
    seed: int,
    duration_s: float,
    machines: int,
    styles: int,
    each: int = 4,
    kinds: Collection[str] = (),
) -> Plan:
    """Draws the plan of a seed, with `each` clients on each machine and of these kinds or all."""
    rng = random.Random(seed)
    chosen = kinds or tuple(KINDS)
    steps, at, weights = [], 0.0, [KINDS[kind][0] for kind in chosen]
    while (at := at + rng.expovariate(1.0 / MEAN_GAP_S)) < duration_s:
        kind = rng.choices(tuple(chosen), weights)[0]
        machine = rng.randint(1, machines)
        steps.append(Step(round(at, 3), kind, machine, KINDS[kind][1](rng, machines)))
    clients = [(index % machines + 1, rng.randrange(styles)) for index in range(each * machines)]
    return Plan(seed, duration_s, machines, tuple(steps), tuple(clients))


def _draw_stop(rng: random.Random, machines: int) -> dict:
    """Draws the signals after SIGTERM, and when the next process starts.

    `burst` lists clients of drawn styles that begin so long after the step, `lead` is the time
    from there to SIGTERM; `overlap` is the start of the next process after SIGTERM, None if it
    waits for the end of the last.
    """
    also = [
        (round(rng.uniform(0.0, 4.0), 3), rng.choice(("SIGTERM", "SIGHUP", "SIGHUP")))
        for _ in range(rng.choice((0, 0, 1, 2, 4)))
    ]
    if rng.random() < 0.1:
        also.append((round(rng.uniform(0.0, 5.0), 3), "SIGKILL"))
    if rng.random() < 0.15:  # Frozen while the node closes its listeners.
        at = round(rng.uniform(2.4, 3.0), 3)
        also += [(at, "SIGSTOP"), (round(at + rng.uniform(0.1, 0.8), 3), "SIGCONT")]
    clients = range(rng.choice((6, 16)))
    return {
        "also": sorted(also),
        "burst": [(round(rng.uniform(0.0, 1.5), 3), rng.randrange(8)) for _ in clients],
        "lead": round(rng.uniform(0.05, 1.5), 3),
        "overlap": round(rng.uniform(0.0, 5.0), 3) if rng.random() < 0.3 else None,
        "pause": round(rng.uniform(0.05, 2.0), 3),
        "count": 1,
        "gap": 0.0,
    }


def _draw_rolling(rng: random.Random, machines: int) -> dict:
    count, gap = rng.randint(2, max(2, machines // 3)), round(rng.uniform(0.0, 1.5), 3)
    return _draw_stop(rng, machines) | {"count": count, "gap": gap}


def _draw_leave(rng: random.Random, machines: int) -> dict:
    return {
        "late": round(rng.uniform(0.2, 4.0), 3) if rng.random() < 0.6 else 0.0,
        "more": round(rng.uniform(0.0, 2.0), 3),
        "says": rng.random() < 0.6,
        "node": rng.choice(("stays", "stops", "killed early")),
        "early": round(rng.uniform(0.0, 1.0), 3),
        "service": rng.random(),
        "pause": round(rng.uniform(2.0, 5.0), 3),
    }


def _draw_server_fault(rng: random.Random, machines: int) -> dict:
    return {
        "fault": rng.choice(server_faults.ALL),
        "share": rng.choice((0.3, 0.6, 1.0)),
        "after": round(rng.uniform(0.0, 0.3), 3),  # A node that stops asks its server less.
        "for": round(rng.uniform(1.5, 5.0), 3),
        "service": rng.random(),
        "stops": rng.choice(("own", "asking", "both")),
        "stop": _draw_stop(rng, machines),
    }


def _draw_both(rng: random.Random, machines: int) -> dict:
    """Draws stops of the node that takes requests and of one beside a server, at about one time."""
    stops = {"asking": _draw_stop(rng, machines), "asked": _draw_stop(rng, machines)}
    lead = rng.uniform(0.05, 1.5)
    for values in stops.values():
        values["lead"] = round(lead + rng.uniform(0.0, 0.5), 3)
        if rng.random() < 0.3:  # Frozen while an answer may be on its way back.
            at = round(rng.uniform(0.0, 4.0), 3)
            freeze = [(at, "SIGSTOP"), (round(at + rng.uniform(0.05, 0.8), 3), "SIGCONT")]
            values["also"] = sorted([*values["also"], *freeze])
    return stops | {"service": rng.random()}


def _draw_pause(rng: random.Random, machines: int) -> dict:
    return {"pause": round(rng.uniform(0.05, 1.5), 3)}


def _draw_store(rng: random.Random, machines: int) -> dict:
    trouble = rng.choice(("silent", "busy", "slow"))
    return {"trouble": trouble, "for": round(rng.uniform(0.5, 5.0), 3)}


def _draw_series(rng: random.Random, machines: int) -> dict:
    return {"gaps": [round(rng.expovariate(4.0), 3) for _ in range(rng.randint(1, 6))]}


def _draw_access(rng: random.Random, machines: int) -> dict:
    return steps_teams.draw_access(rng)


def _draw_give_back(rng: random.Random, machines: int) -> dict:
    return steps_teams.draw_give_back(rng, _draw_rolling(rng, machines))


def _draw_press(rng: random.Random, machines: int) -> dict:
    return steps_press.draw(rng, _draw_rolling(rng, machines))


def _draw_late(rng: random.Random, machines: int) -> dict:
    return steps_late.draw(rng, _draw_stop(rng, machines))


def _draw_far(rng: random.Random, machines: int) -> dict:
    return steps_far.draw(rng, _draw_rolling(rng, machines))


def _draw_crowd(rng: random.Random, machines: int) -> dict:
    return steps_crowd.draw(rng)


def _draw_starve(rng: random.Random, machines: int) -> dict:
    return steps_starve.draw_starve(rng, _draw_rolling(rng, machines))


def _draw_freeze(rng: random.Random, machines: int) -> dict:
    return steps_starve.draw_freeze(rng, _draw_stop(rng, machines))


def _draw_clock(rng: random.Random, machines: int) -> dict:
    return steps_clock.draw(rng, _draw_rolling(rng, machines))


def _draw_release(rng: random.Random, machines: int) -> dict:
    return steps_machines.draw_release(rng, _draw_stop(rng, machines))


def _draw_scale(rng: random.Random, machines: int) -> dict:
    return steps_machines.draw_scale(rng, _draw_stop(rng, machines))


def _draw_reuse(rng: random.Random, machines: int) -> dict:
    return steps_machines.draw_reuse(rng, _draw_stop(rng, machines))


def _draw_server_trouble(rng: random.Random, machines: int) -> dict:
    return steps_servers.draw(rng, _draw_rolling(rng, machines))


def _draw_reset(rng: random.Random, machines: int) -> dict:
    return steps_resets.draw(rng, _draw_rolling(rng, machines))


def _draw_store_cut(rng: random.Random, machines: int) -> dict:
    return steps_store.draw_cut(rng, _draw_rolling(rng, machines))


def _draw_store_history(rng: random.Random, machines: int) -> dict:
    return steps_store.draw_history(rng, _draw_rolling(rng, machines))


def _draw_reload_and_stop(rng: random.Random, machines: int) -> dict:
    return steps_signals.draw(rng, _draw_rolling(rng, machines))


KINDS = {
    "stop": (10, _draw_stop),
    "rolling": (2, _draw_rolling),
    "kill": (2, _draw_pause),
    "kill all": (0.7, _draw_pause),
    "reload": (2, _draw_series),
    "leave": (3, _draw_leave),
    "configure": (3, _draw_series),
    "store": (2, _draw_store),
    "server fault": (4, _draw_server_fault),
    "both": (3, _draw_both),
    "access": (3, _draw_access),
    "give back": (2, _draw_give_back),
    "press": (1.5, _draw_press),
    "late": (1.0, _draw_late),
    "far": (3, _draw_far),
    "crowd": (1, _draw_crowd),
    "starve": (2, _draw_starve),
    "freeze": (1, _draw_freeze),
    steps_clock.KIND: (1.5, _draw_clock),
    "release": (1.5, _draw_release),
    "scale": (1.5, _draw_scale),
    "reuse": (1.5, _draw_reuse),
    "server trouble": (2, _draw_server_trouble),
    "reset": (2, _draw_reset),
    "store cut": (2, _draw_store_cut),
    "store history": (1.5, _draw_store_history),
    steps_signals.KIND: (1.5, _draw_reload_and_stop),
}
