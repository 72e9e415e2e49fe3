"""The example configurations are valid and meet the requirements of their deployments."""

import pathlib

import pytest

from bergamotridge import call, settings
from bergamotridge.operators import operator_text

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
UNREPEATABLE_ROUTES = {
    "cooperatie": {"book", "cancel-booking", "pay", "order-parts"},
    "kitami": {"book", "pay-sticker", "refund", "cancel"},
}


def call_depth(fleet: operator_text.OperatorText, service: str) -> int:
    return 1 + max(
        (call_depth(fleet, name) for name in fleet.services[service].depends_on), default=0
    )


@pytest.mark.parametrize("name", sorted(UNREPEATABLE_ROUTES))
def test_example_is_accepted(name):
    source = EXAMPLES / name / "fleet.toml"
    fleet = operator_text.parse(source.read_text(encoding="utf-8"), str(source))
    assert max(call_depth(fleet, service) for service in fleet.services) == 4
    assert len(fleet.teams) == 8
    critical = {
        route.name
        for route in fleet.routes.values()
        if route.importance is call.Importance.CRITICAL
    }
    assert critical == UNREPEATABLE_ROUTES[name]
    assert not any(fleet.routes[route].repeatable for route in critical)
    node = settings.load(str(EXAMPLES / name / "node.toml"))
    assert node.host.rpartition("-")[0] in fleet.services
