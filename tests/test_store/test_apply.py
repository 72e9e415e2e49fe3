"""Operators race and lose answers; each learns the truth about its own change."""

import threading

import pytest

from bergamotridge import errors
from bergamotridge.store import apply, client

TEXT = "[services.booking]\n"


@pytest.fixture
def store(server):
    return client.ObjectClient("{}:{}".format(*server.server_address), 5.0)


def _faults(server, **faults):
    server.RequestHandlerClass.platform.change_faults(faults)


def test_a_race_names_the_other_change(store):
    first = apply.apply(store, TEXT, 0)
    with pytest.raises(errors.ConflictError, match=first.change_id) as caught:
        apply.apply(store, TEXT, 0)
    assert caught.value.version == first.version
    assert apply.apply(store, TEXT, first.version).version > first.version


def test_one_of_many_racing_operators_wins(store):
    first, outcomes = apply.apply(store, TEXT, 0), []

    def race():
        try:
            outcomes.append(apply.apply(store, TEXT, first.version))
        except errors.ConflictError as error:
            outcomes.append(error)

    threads = [threading.Thread(target=race) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [outcome for outcome in outcomes if isinstance(outcome, apply.Applied)]
    assert len(winners) == 1
    assert store.get("configuration", "current").value["change_id"] == winners[0].change_id


def test_a_lost_answer_is_read_back(server, store):
    _faults(server, lose_answers=1)
    applied = apply.apply(store, TEXT, 0)
    assert store.get("configuration", "current").value["change_id"] == applied.change_id


def test_a_lost_answer_is_found_under_a_later_change(store):
    class LateReader(client.ObjectClient):
        def put(self, kind, name, value, version):
            written = super().put(kind, name, value, version)
            apply.apply(store, TEXT, written)
            raise errors.PlatformUnavailableError("answer lost")

    late = LateReader(store._transport._base.removeprefix("http://"), 5.0)
    assert apply.apply(late, TEXT, 0).replaced


def test_an_outage_leaves_the_outcome_open(server, store):
    _faults(server, outage=True)
    with pytest.raises(errors.PlatformUnavailableError):
        apply.apply(store, TEXT, 0)


def test_a_bad_text_is_never_written(store):
    with pytest.raises(errors.SettingsError):
        apply.apply(store, "[nothing]\n", 0)
    with pytest.raises(errors.NotFoundError):
        store.get("configuration", "current")
