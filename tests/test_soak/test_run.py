"""A short seeded run of the soak with real processes; longer runs are started by hand."""

from soak import draw, session

SEED = 1
DURATION_S = 24.0
HOSTS = 6


def test_all_promises_hold_in_a_short_run(tmp_path):
    report = session.run_plan(draw.draw_plan(SEED, DURATION_S, HOSTS), tmp_path)
    assert report.findings == ()
    assert report.good > 0
