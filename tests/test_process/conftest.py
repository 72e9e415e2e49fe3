"""Fixtures: one running fleet for the whole session, restored before each test."""

import pytest

from standins import fleet as standin_fleet
from tests import fleet


@pytest.fixture(scope="session")
def shared_rig(tmp_path_factory):
    directory = tmp_path_factory.mktemp("fleet")
    with standin_fleet.Fleet(directory, fleet.HOSTS, fleet.TEXT) as running:
        keys = {team: running.grant(team) for team in ("large", "small")}
        running.wait_ready()
        rig = fleet.Rig(running, directory, keys)
        yield rig
        rig.stop()


@pytest.fixture
def rig(shared_rig):
    shared_rig.restore()
    return shared_rig
