"""A step in which requests become whole one after another, late in a planned stop."""

import asyncio
import random

import attrs

from soak.machines import client, machine, scene, shape

FIRST_S, LAST_S, EVERY_S = 2.5, 5.9, 0.1
OPEN_S = 2.9  # Since SIGTERM; a node listens until 3 s after it.
# Before SIGTERM, and after it: a kept connection may be idle for 2 s.
USED_S, IDLE_S = (0.2, 0.6), 1.2
LEAST_LEAD_S = 0.8
SHORT_MS, SIZE = 5, 500
FRESH = client.Style("late fresh", kept=False, body=300)
BYTEWISE = client.Style("late bytewise", kept=False, head_pause_s=0.008)
PIECES = client.Style("late pieces", body=6000, pieces=12, piece_pause_s=0.1)
STYLES = (FRESH, BYTEWISE, PIECES)


@attrs.frozen
class Late:
    """One request.

    Attributes:
        at: Time from SIGTERM to its last byte in seconds.
        style: How it is sent.
        lasts_s: How long that takes, if its connection allows.
        used_s: Time from the last use of a kept connection to SIGTERM.
        job: What is asked.
    """

    at: float
    style: client.Style
    lasts_s: float
    used_s: float
    job: client.Job

    def begins(self) -> float:
        """Returns the time from SIGTERM to the first byte, or to the opening of a connection."""
        if self.style is FRESH:
            return self.at
        return min(self.at - self.lasts_s, OPEN_S if self.style is BYTEWISE else IDLE_S)


def draw(rng: random.Random, stop: dict) -> dict:
    """Draws a stop, at times with a second SIGTERM; `late` is the seed of the requests."""
    again = [(round(rng.uniform(0.5, 4.0), 3), "SIGTERM")] if rng.random() < 0.4 else []
    lead = round(LEAST_LEAD_S + rng.uniform(0.0, 0.5), 3)
    return stop | {"burst": [], "also": again, "lead": lead, "late": rng.randrange(1_000_000)}


def draw_requests(rng: random.Random, of: shape.Shape) -> list[Late]:
    """Draws a request of each style for each tenth of a second."""
    count = round((LAST_S - FIRST_S) / EVERY_S) + 1
    return [
        Late(
            FIRST_S + index * EVERY_S + rng.uniform(0.0, EVERY_S / 2),
            style,
            rng.uniform(1.0, 1.9),
            rng.uniform(*USED_S),
            _draw_job(rng, of),
        )
        for index in range(count)
        for style in STYLES
    ]


def _draw_job(rng: random.Random, of: shape.Shape) -> client.Job:
    """Draws a request that isn't idempotent, if there are any from a team without a limit."""
    kinds = [kind for kind in of.kinds if kind.weight and not (kind.safe or kind.calls)]
    kinds = kinds or [kind for kind in of.kinds if kind.weight]
    kind = rng.choices(kinds, [kind.weight for kind in kinds])[0]
    service = kind.service or rng.choice(of.services).name
    keys = [key for team in of.teams if not team.rate_per_s for key in team.keys]
    key = rng.choice(keys) if keys else of.draw_key(rng)
    path = _make_path(kind, round(kind.timeout_ms * rng.uniform(0.2, 0.6)))
    return client.Job(kind, service, path, "" if of.is_public(kind) else key)


def _make_path(kind: shape.Kind, work_ms: int) -> str:
    return f"/{kind.name}/{work_ms}/{SIZE}/length/0"


async def stop_late(on: scene.Scene, number: int, values: dict) -> None:
    """Stops a node while clients send requests that become whole late in its stop."""
    item = on.find_machine(number)
    if item.replaces:
        return
    begin = on.rows.now() + values["lead"]
    requests = draw_requests(random.Random(values["late"]), on.shape)
    sending = [_send(on, item, begin, late) for late in requests]
    await asyncio.gather(on.stop_several(number, values), *sending)


async def _send(on: scene.Scene, item: machine.Machine, begin: float, late: Late) -> None:
    """Sends one request, on a connection that was in use before if it is sent in pieces."""
    sender = client.Connection(on.rows, item.outbound, late.style)
    try:
        if late.style is PIECES:
            await _wait(on, begin - late.used_s)
            await _use(on, sender, item, late.job)
        await _wait(on, begin + late.begins())
        if sender.open or (late.style is not PIECES and await sender.open_up()):
            job = attrs.evolve(late.job, last_at=begin + late.at)
            await sender.exchange([job], late.style.name, item.number, item.service)
    finally:
        sender.close()


async def _use(on: scene.Scene, sender: client.Connection, item: machine.Machine, job) -> None:
    """Opens a connection and has a short request answered that is sent at once."""
    short = attrs.evolve(job, path=_make_path(job.kind, SHORT_MS), last_at=on.rows.now())
    if await sender.open_up():
        await sender.exchange([short], "late first", item.number, item.service)


async def _wait(on: scene.Scene, until: float) -> None:
    await asyncio.sleep(max(0.0, until - on.rows.now()))
