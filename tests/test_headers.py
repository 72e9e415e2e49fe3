"""Only the header fields that concern the whole way of a message are forwarded."""

from bergamotridge import headers


# With two Connection fields, those that only the second one named were forwarded.
def test_fields_that_any_connection_field_names_are_not_forwarded():
    fields = [(b"connection", b"keep-alive"), (b"x-a", b"1"), (b"http2-settings", b"AAM")]
    fields += [(b"connection", b"Upgrade, X-B"), (b"x-b", b"2"), (b"upgrade", b"h2c")]
    assert headers.for_upstream(fields) == headers.for_caller(fields) == [(b"x-a", b"1")]
