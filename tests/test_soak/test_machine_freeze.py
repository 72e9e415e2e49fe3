"""A freeze leaves the process that it hits time to end."""

import asyncio
import types

import pytest

from soak.machines import draw, fleet, shape

FOR_S = 2.0


# A process that another step had told to stop was thawed 5.9 s later, and blamed for its requests.
@pytest.mark.parametrize(
    ("told_s_ago", "freezes"), [(None, 1), (0.0, 1), (3.0, 1), (3.5, 0), (5.0, 0)]
)
def test_a_process_that_was_told_too_early_is_not_frozen(
    tmp_path, monkeypatch, told_s_ago, freezes
):
    plan = draw.draw_plan(1, 1.0, 4, 1)
    on = fleet.Fleet(plan, shape.load("any"), tmp_path, tmp_path)
    told_at = None if told_s_ago is None else on.rows.now() - told_s_ago
    process, frozen = types.SimpleNamespace(told_at=told_at), []
    pauser = types.SimpleNamespace(join=lambda: None)
    item = types.SimpleNamespace(
        process=process, pause=lambda pauses, only: frozen.append((pauses, only)) or pauser
    )
    on.machines = [item]
    monkeypatch.setattr(asyncio, "sleep", _pass_time)
    asyncio.run(on.freeze(1, 0.0, FOR_S))
    assert frozen == [([(0.0, FOR_S)], process)] * freezes


async def _pass_time(_: float) -> None:
    """Takes no time."""
