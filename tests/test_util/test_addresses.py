"""Addresses that other processes name are checked before a socket gets them."""

import pytest

from bergamotridge import errors
from bergamotridge.util import addresses

ODD_ADDRESSES = (
    "10.0.0.5:99999",
    "10.0.0.5:-5",
    f"10.0.0.5:{10**30}",
    "10.0.0.5:" + "9" * 5000,
    "10.0.0.5:0",
    "10.0.0.5:+80",
    "10.0.0.5:\u00b2",
    "10.0.0.5:\u0668\u0660",
    "10.0.0.5: 80",
    "10.0.0.5",
    "10.0.0.5:",
    ":80",
    "host.example:80",
    "[10.0.0.5:80",
    "unix:/tmp/x:80",
    "fe80::1%eth0:80",
    "\0:80",
    "",
    None,
    80,
    True,
    ["10.0.0.5:80"],
    {"address": "10.0.0.5:80"},
)


@pytest.mark.parametrize("value", ODD_ADDRESSES)
def test_anything_but_an_ip_and_a_port_in_range_is_rejected(value):
    assert not addresses.is_address(value)
    with pytest.raises(errors.MalformedEntryError) as caught:
        addresses.parse(value)
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize(
    ("value", "pair", "text"),
    [
        ("10.0.0.5:80", ("10.0.0.5", 80), "10.0.0.5:80"),
        ("[::1]:65535", ("::1", 65535), "[::1]:65535"),
        ("::1:80", ("::1", 80), "[::1]:80"),
    ],
)
def test_an_address_is_split_and_written_again(value, pair, text):
    parsed = addresses.parse(value)
    assert (parsed.pair, str(parsed)) == (pair, text)


def test_only_a_listening_socket_may_leave_the_port_open():
    assert addresses.parse("127.0.0.1:0", min_port=addresses.ANY_PORT).port == 0
