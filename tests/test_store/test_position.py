"""Positions are ordered by epoch first, and their text form can be read back."""

import pytest

from bergamotridge import errors
from bergamotridge.store import position
from tests import positions


def test_any_position_of_a_later_epoch_is_later():
    ordered = [position.UNREAD, position.START, positions.at(99, 1), positions.at(0, 2)]
    assert sorted(reversed(ordered)) == ordered


@pytest.mark.parametrize("value", [positions.at(0), positions.at(7), positions.at(41, 2)])
def test_a_printed_version_can_be_given_back(value):
    assert position.parse(str(value)) == value


@pytest.mark.parametrize("text", ["", "x", "1.", ".1", "1.2.3", "-1", "²"])
def test_a_text_that_is_no_version_is_refused(text):
    with pytest.raises(errors.UsageError):
        position.parse(text)
