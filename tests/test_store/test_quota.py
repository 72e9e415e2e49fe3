"""Quota objects of other software: they are read whole, or not at all."""

import hypothesis
import orjson
import pytest
from hypothesis import strategies as st

from bergamotridge import errors
from bergamotridge.store import quota
from tests import odd_values, positions

VALID = ['"h1"', "1000", '"a"', "500000", "7", "1.5"]
QUOTAS = {"delft": quota.Quota((quota.Share("h1", 1000, "a", 500_000, 7, 1.5),))}
RESERVED = {"delft": quota.reserve_all(positions.at(7, epoch=2))}


@pytest.mark.parametrize(("quotas", "epoch"), [(QUOTAS, None), (QUOTAS, 3), (RESERVED, 3)])
def test_the_quotas_of_a_group_are_written_and_read_again(quotas, epoch):
    group = quota.Group(quotas, epoch)
    value = orjson.loads(orjson.dumps(quota.encode_group(group)))
    assert quota.decode_group(value) == group


@pytest.mark.parametrize("parts", [(600_000, 600_000), (-1, 5)])
def test_shares_beyond_the_whole_are_an_error(parts):
    shares = [["h1", 1, "a", parts[0], 1, 0.0], ["h2", 1, "a", parts[1], 1, 0.0]]
    with pytest.raises(errors.PlatformError):
        quota.decode_group({"teams": {"delft": shares}})


def _replaced(changes):
    return odd_values.list_text(
        [changes.get(place, text) for place, text in enumerate(VALID) if changes.get(place) != ""]
    )


SHARES = st.dictionaries(
    st.integers(0, len(VALID) - 1), odd_values.TEXTS | st.just(""), min_size=1, max_size=2
).map(_replaced)


# Values of other types went on to the decisions and ended the thread that makes them.
@odd_values.SETTINGS
@hypothesis.given(
    text=SHARES.map('{{"teams":{{"delft":[{}]}}}}'.format)
    | odd_values.TEXTS.map('{{"teams":{{"delft":{}}}}}'.format)
    | odd_values.TEXTS.map('{{"teams":{}}}'.format)
    | odd_values.TEXTS.map('{{"teams":{{}},"epoch":{}}}'.format)
    | odd_values.TEXTS
)
def test_what_is_read_can_be_decided_on_and_written_again(text):
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return
    try:
        group = quota.decode_group(value)
    except errors.MalformedObjectError as error:
        assert len(str(error)) < 500
        return
    for team_quota in group.quotas.values():
        quota.target_parts(team_quota, 10.0, 5.0)
    assert quota.decode_group(orjson.loads(orjson.dumps(quota.encode_group(group)))) == group
