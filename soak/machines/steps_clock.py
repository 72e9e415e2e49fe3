"""A step in which the time of day jumps on some machines and back, before or after planned work."""

import asyncio
import random

from soak.machines import beside, scene

NS_PER_S = 1_000_000_000
KIND = "clock"
JUMPS_S = (-5.0, -2.0, 2.0, 5.0)
STEP = "clock step"


def draw(rng: random.Random, stops: dict) -> dict:
    """Draws the machines whose time jumps, by how much, and when it jumps back."""
    return beside.draw(rng, stops) | {
        "jump": rng.choice(JUMPS_S),
        "machines": rng.choice((1, 2, 3)),
        "for": round(rng.uniform(0.5, 5.0), 3),
    }


async def jump(on: scene.Scene, number: int, values: dict) -> None:
    """Lets the time of day jump on machines from `number` on."""
    last = min(number + values["machines"], on.size + 1)

    async def there_and_back() -> None:
        for seconds in (values["jump"], 0.0):
            for at in range(number, last):
                on.find_machine(at).step_clock(round(seconds * NS_PER_S))
                on.rows.happen(STEP, at, f"{seconds:+g} s")
            await asyncio.sleep(values["for"] if seconds else 0.0)

    await beside.play(on, number, values, there_and_back)
