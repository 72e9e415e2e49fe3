"""The operator's text: errors name the key and the accepted values."""

import pytest

from bergamotridge import errors
from bergamotridge.operators import operator_text

VALID_TEXT = """
[services.counter]
depends_on = ["booking"]
[services.booking]
[routes.book]
method = "POST"
path = "/bookings"
service = "counter"
importance = "critical"
[teams.utrecht]
rate = 10
burst = 5
"""


def test_parse_accepts_a_valid_text():
    parsed = operator_text.parse(VALID_TEXT, "fleet.toml")
    assert parsed.services["counter"].depends_on == ("booking",)
    assert not parsed.routes["book"].repeatable


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("rate = 10", "rate = -1", "teams.utrecht.rate"),
        ("burst = 5", "burst = 0", "teams.utrecht.burst"),
        # Numbers beyond 64 bits were accepted, and the status page failed; longer ones and deep
        # lists were no settings error: a traceback for the operator, and for the node that read it.
        ("burst = 5", f"burst = {10**30}", "teams.utrecht.burst"),
        ("rate = 10", "rate = 1e300", "teams.utrecht.rate"),
        ("burst = 5", f"burst = {'9' * 5000}", "not valid TOML"),
        ("burst = 5", f"burst = {'[' * 5000}{']' * 5000}", "not valid TOML"),
        ("burst = 5", "brust = 5", "unknown key 'teams.utrecht.brust'"),
        ("burst = 5", "brust = 5", "did you mean 'burst'?"),
        ("[services.booking]", '[services.booking]\ndepends_on = ["counter"]', "cycle"),
        ('depends_on = ["booking"]', 'depends_on = ["bookings"]', "unknown service 'bookings'"),
        ('service = "counter"', 'service = "count"', "unknown service 'count'"),
        ("[teams.utrecht]", "[team.utrecht]", "did you mean 'teams'?"),
        ('importance = "critical"', 'importance = "high"', "critical, standard, sheddable"),
        ('"/bookings"', '"/bookings/<id"', "routes.book.path"),
        ('"/bookings"', '"/bookings/<uid:id>"', "routes.book.path"),
        ('"/bookings"', '"/a/<id>/<id>"', "routes.book.path"),
        ('"/bookings"', '"/_bergamotridge/announce"', "the nodes' own"),
        ('"POST"', '"BOOK"', "accepted: DELETE, GET"),
        ("rate = 10", "rate = nan", "teams.utrecht.rate"),
    ],
)
def test_parse_error_names_the_file_and_the_mistake(old, new, message):
    with pytest.raises(errors.SettingsError) as caught:
        operator_text.parse(VALID_TEXT.replace(old, new), "fleet.toml")
    assert message in str(caught.value)
    assert str(caught.value).startswith("fleet.toml")
