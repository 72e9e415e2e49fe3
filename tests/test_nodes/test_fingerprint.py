"""Fingerprints depend on the content of a request, not on its sender."""

import pytest

from bergamotridge.nodes import fingerprint
from bergamotridge.util import message

REQUEST = message.Request(b"POST", b"/parts?size=2", [(b"request-id", b"1")], b"wheel")


def compute(request, service="depot", host="depot.example", secret="secret"):
    return fingerprint.Fingerprinter(secret).compute(service, host, request)


def test_requests_of_other_callers_with_the_same_content_have_the_same_fingerprint():
    other = message.Request(b"POST", b"/parts?size=2", [(b"request-id", b"2")], b"wheel")
    assert compute(REQUEST) == compute(other, host="Depot.Example")


@pytest.mark.parametrize(
    ("method", "target", "body"),
    [
        (b"PUT", b"/parts?size=2", b"wheel"),
        (b"POST", b"/parts?size=3", b"wheel"),
        (b"POST", b"/parts", b"?size=2wheel"),
        (b"POST", b"/parts?size=2", b"brake"),
    ],
)
def test_any_other_content_gives_another_fingerprint(method, target, body):
    assert compute(REQUEST) != compute(message.Request(method, target, [], body))


def test_hosts_services_and_fleets_have_fingerprints_of_their_own():
    fingerprints = {
        compute(REQUEST),
        compute(REQUEST, service="counter"),
        compute(REQUEST, host="other.example"),
        compute(REQUEST, secret="other"),
    }
    assert len(fingerprints) == 4
