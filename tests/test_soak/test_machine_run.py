"""A short seeded run of the soak of machines; longer runs are started by hand."""

from soak.machines import __main__ as machines
from soak.machines import client, draw

SEED = 2
DURATION_S = 12.0
MACHINES = 4


def test_all_rules_hold_in_a_short_run(tmp_path):
    plan = draw.draw_plan(SEED, DURATION_S, MACHINES, len(client.STYLES))
    rows, found = machines.run_plan(plan, tmp_path)
    # How long a stop lasts depends on what else runs on the machine.
    assert [finding.to_line() for finding in found if finding.rule != "GRACE"] == []
    assert any(attempt.status == 200 for attempt in rows.attempts)
