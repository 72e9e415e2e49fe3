"""Settings are checked when loaded; errors name the file, the key and the accepted values."""

import pytest

from bergamotridge import errors, settings

VALID_SETTINGS = """
host = "h1"
failure_domain = "amsterdam"
fleet_secret = "s"
[addresses]
callers = "127.0.0.1:8000"
upstream = "127.0.0.1:8001"
relay = "127.0.0.1:8002"
control = "127.0.0.1:8003"
operators = "127.0.0.1:8004"
[platform]
address = "127.0.0.1:9000"
"""


def test_valid_text_is_read_and_missing_keys_get_defaults():
    loaded = settings.parse(VALID_SETTINGS, "node.toml")
    assert loaded.host == "h1"
    assert loaded.limits.retries == 2
    assert loaded.peers.first == ()
    assert loaded.addresses.relay_for_nodes == "127.0.0.1:8002"


def test_an_advertised_address_takes_precedence_over_the_listening_address():
    advertised = '[addresses]\nadvertised_relay = "10.0.0.1:80"'
    loaded = settings.parse(VALID_SETTINGS.replace("[addresses]", advertised), "node.toml")
    assert loaded.addresses.relay_for_nodes == "10.0.0.1:80"
    assert loaded.addresses.control_for_nodes == "127.0.0.1:8003"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('host = "h1"', 'hots = "h1"', "unknown key 'hots'"),
        ('host = "h1"', 'hots = "h1"', "did you mean 'host'?"),
        ('host = "h1"', "host = 3", "key 'host' is 3"),
        # Other nodes skip the records of a host with such a name.
        ('host = "h1"', 'host = "a\\nb"', "key 'host' is"),
        ('host = "h1"', f'host = "{"h" * 300}"', "key 'host' is"),
        ("127.0.0.1:8000", "localhost:8000", "key 'addresses.callers'"),
        # A digit that is no decimal one ended the start with a traceback.
        ("127.0.0.1:8000", "127.0.0.1:\u00b2", "key 'addresses.callers'"),
        ("[platform]", "[platform]\ntimeout_s = -1", "key 'platform.timeout_s' is -1"),
        ('host = "h1"', 'host = "h1"\npeers = 3', "key 'peers' must be a table"),
        ("[platform]", '[shedding]\ndependencies = "x"\n[platform]', "accepted: service or route"),
    ],
)
def test_errors_name_the_file_and_the_invalid_key(old, new, message):
    with pytest.raises(errors.SettingsError, match=r"node\.toml") as caught:
        settings.parse(VALID_SETTINGS.replace(old, new), "node.toml")
    assert message in str(caught.value)
