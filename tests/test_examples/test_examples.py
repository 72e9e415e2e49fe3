"""The examples are accepted as they stand and hold what the deployments ask for."""

import pathlib

import pytest

from bergamotridge import call, settings
from bergamotridge.operators import operator_text

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
MAY_NOT_REPEAT = {
    "cooperatie": {"book", "cancel-booking", "pay", "order-parts"},
    "kitami": {"book", "pay-sticker", "refund", "cancel"},
}


def depth(fleet: operator_text.OperatorText, service: str) -> int:
    return 1 + max((depth(fleet, name) for name in fleet.services[service].depends_on), default=0)


@pytest.mark.parametrize("name", sorted(MAY_NOT_REPEAT))
def test_example_is_accepted(name):
    source = EXAMPLES / name / "fleet.toml"
    fleet = operator_text.parse(source.read_text(encoding="utf-8"), str(source))
    assert max(depth(fleet, service) for service in fleet.services) == 4
    assert len(fleet.teams) == 8
    critical = {
        route.name
        for route in fleet.routes.values()
        if route.importance is call.Importance.CRITICAL
    }
    assert critical == MAY_NOT_REPEAT[name]
    assert not any(fleet.routes[route].repeatable for route in critical)
    node = settings.load(str(EXAMPLES / name / "node.toml"))
    assert node.host.rpartition("-")[0] in fleet.services
