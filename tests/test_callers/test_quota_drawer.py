"""Settlements of drawn tokens reach only the process that lent them."""

import random

from bergamotridge.callers import quota_drawer
from bergamotridge.nodes import quota_pb2, record
from bergamotridge.operators import operator_text

TEAMS = {name: operator_text.Team(name, rate=10.0, burst=40) for name in ("leiden", "utrecht")}
LIFETIME_MS = 4000
HOLDER = record.UpstreamRecord("h", 1, 1, "a", "r", "s", record.State.READY, 1, 0.0, "", "h")


def draw(drawer, team, incarnation, now):
    """Draws one token of a team from a process of the holder and spends it."""
    drawer.add_waiting(team, 1)
    (planned,) = drawer.plan_draws({HOLDER.host: HOLDER}, now)
    grant = quota_pb2.Grant(team=team, batch=1, granted=1)
    response = quota_pb2.DrawResponse(
        incarnation=incarnation, lifetime_ms=LIFETIME_MS, grants=[grant]
    )
    drawer.apply_response(planned, response, now)
    drawer.add_waiting(team, -1)
    assert drawer.take(team, now, now)


def test_tokens_of_an_earlier_process_are_not_settled_with_its_successor():
    drawer = quota_drawer.QuotaDrawer("d", "a", random.Random(1))
    chosen = {name: {"a": [HOLDER]} for name in TEAMS}
    drawer.configure(TEAMS, chosen, 100.0)
    draw(drawer, "leiden", 1, 100.0)
    drawer.add_waiting("leiden", 1)
    drawer.add_waiting("utrecht", 1)
    # Tokens of both teams are drawn at once, but those of Leiden come from the earlier process.
    state = drawer._states["utrecht"]
    state.tokens.add(HOLDER.host, 2, 1, 1, 100.1, 4.0)
    assert drawer.take("utrecht", 100.1, 100.1)
    (planned,) = drawer.plan_draws({HOLDER.host: HOLDER}, 103.0)
    settled = [item.team for item in planned.request.draws if item.settlements]
    assert planned.request.holder_incarnation == 2
    assert settled == ["utrecht"]
