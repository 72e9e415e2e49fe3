"""Pages of a node that cannot be read are one kind of error for the operator."""

import json

import hypothesis
import pytest

from bergamotridge import errors
from bergamotridge.operators import decoding, fleet, status
from tests import odd_values

VALID_STATUS = {"host": "h1", "incarnation": 1, "failure_domain": "a", "uptime_s": 1.0}
VALID_EVENT = {
    "stamp": "7.0@h1",
    "host": "h1",
    "incarnation": 1,
    "failure_domain": "a",
    "kind": "node.started",
}
STATUS_FIELDS = {**VALID_STATUS, "members": [], "teams": [], "load": {}, "replica_ages": {}}


class OddNode:
    def __init__(self, body):
        self.body = body

    def status(self):
        return decoding.decode_status(self.body)

    def events(self, request_id="", since=""):
        del request_id, since
        return decoding.decode_events(self.body)


@odd_values.SETTINGS
@hypothesis.given(
    body=odd_values.changed(STATUS_FIELDS).map(str.encode)
    | odd_values.changed(VALID_EVENT).map(str.encode)
    | odd_values.BODIES
)
def test_whatever_a_node_answers_it_is_read_or_listed_as_missing(body):
    survey = fleet.find_nodes(["127.0.0.1:1"], lambda address: OddNode(body))
    assert len(survey.reached) + len(survey.missing) >= 1
    reached = fleet.Survey({"127.0.0.1:1": status.Status(**VALID_STATUS)}, ())
    history = fleet.read_history(reached, lambda address: OddNode(body))
    assert not (history.missing and history.events)


@pytest.mark.parametrize("body", [odd_values.nested(1000).encode(), b"\xff", b""])
def test_a_page_that_is_none_is_an_error_of_the_operators_port(body):
    with pytest.raises(errors.OperatorPortError):
        decoding.decode_status(body)
    with pytest.raises(errors.OperatorPortError):
        decoding.decode_knowledge(body)


def test_an_event_with_a_value_of_a_thousand_levels_is_an_error_of_the_operators_port():
    fields = {name: json.dumps(value) for name, value in VALID_EVENT.items()}
    detail = odd_values.object_text({"x": odd_values.nested(1000)})
    with pytest.raises(errors.OperatorPortError):
        decoding.decode_events(odd_values.object_text({**fields, "detail": detail}).encode())
