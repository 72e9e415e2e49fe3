"""Concurrent changes and lost responses: `apply` returns the true outcome of its own change."""

import threading

import pytest

from bergamotridge import errors
from bergamotridge.store import apply, client, configuration, position

TEXT = "[services.booking]\n"


@pytest.fixture
def store(server):
    return client.ObjectClient("{}:{}".format(*server.server_address), 5.0)


def _inject_faults(server, **faults):
    server.RequestHandlerClass.platform.change_faults(faults)


def test_a_conflict_names_the_other_change(store):
    first = apply.apply(store, TEXT, position.START)
    with pytest.raises(errors.ConflictError, match=first.change_id) as caught:
        apply.apply(store, TEXT, position.START)
    assert caught.value.version == first.version
    assert apply.apply(store, TEXT, first.version).version > first.version


def test_exactly_one_of_many_concurrent_changes_takes_effect(store):
    first, outcomes = apply.apply(store, TEXT, position.START), []

    def apply_and_record():
        try:
            outcomes.append(apply.apply(store, TEXT, first.version))
        except errors.ConflictError as error:
            outcomes.append(error)

    threads = [threading.Thread(target=apply_and_record) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [outcome for outcome in outcomes if isinstance(outcome, apply.AppliedChange)]
    assert len(winners) == 1
    assert store.get("configuration", "current").value["change_id"] == winners[0].change_id


def test_the_outcome_is_read_back_after_a_lost_response(server, store):
    _inject_faults(server, lose_answers=1)
    applied = apply.apply(store, TEXT, position.START)
    assert store.get("configuration", "current").value["change_id"] == applied.change_id


def test_a_change_with_a_lost_response_is_found_after_a_later_change(store):
    class ResponseLostAfterLaterChange(client.ObjectClient):
        def put(self, kind, name, value, version):
            new_version = super().put(kind, name, value, version)
            apply.apply(store, TEXT, new_version)
            raise errors.PlatformUnavailableError("response lost")

    lossy_client = ResponseLostAfterLaterChange(
        store._transport._base_url.removeprefix("http://"), 5.0
    )
    assert apply.apply(lossy_client, TEXT, position.START).replaced


# An operator was told that a change had not taken effect, though nodes had it in force: the
# platform had lost it, and another change had followed.
def test_a_change_lost_in_a_restoration_is_not_reported_as_refused(server, store):
    first = apply.apply(store, TEXT, position.START)

    class RestoredBeforeTheAnswer(client.ObjectClient):
        def put(self, kind, name, value, version):
            super().put(kind, name, value, version)
            server.RequestHandlerClass.platform.store.restore(first.version.revision)
            copied = store.get(kind, name)
            apply.apply(store, TEXT, copied.version)
            raise errors.PlatformUnavailableError("response lost")

    lossy_client = RestoredBeforeTheAnswer(store._transport._base_url.removeprefix("http://"), 5.0)
    with pytest.raises(errors.PlatformRestoredError, match="apply the change again"):
        apply.apply(lossy_client, TEXT, first.version)


def test_a_text_applied_to_the_copy_is_later_than_all_that_was_lost(server, store):
    replica = configuration.ConfigurationStore()
    first = apply.apply(store, TEXT, position.START)
    lost = first
    for _ in range(3):
        lost = apply.apply(store, TEXT, lost.version)
    replica.apply_listing(store.list(configuration.KIND))
    server.RequestHandlerClass.platform.store.restore(first.version.revision)
    replica.apply_listing(store.list(configuration.KIND))
    assert replica.current.change_id == lost.change_id
    with pytest.raises(errors.ConflictError):
        apply.apply(store, TEXT, first.version)
    again = apply.apply(store, TEXT, store.get(configuration.KIND, configuration.NAME).version)
    replica.apply_listing(store.list(configuration.KIND))
    assert replica.current.change_id == again.change_id


def test_an_outage_raises_platform_unavailable(server, store):
    _inject_faults(server, outage=True)
    with pytest.raises(errors.PlatformUnavailableError):
        apply.apply(store, TEXT, position.START)


def test_an_invalid_text_is_not_written(store):
    with pytest.raises(errors.SettingsError):
        apply.apply(store, "[nothing]\n", position.START)
    with pytest.raises(errors.NotFoundError):
        store.get("configuration", "current")


@pytest.mark.parametrize(
    "odd", [{"change_id": 7}, {"change_id": "c", apply.EARLIER_KEY: 7}, [1], "x"]
)
def test_a_configuration_object_of_other_software_can_be_replaced(store, odd):
    version = store.put("configuration", "current", odd, position.START)
    assert apply.apply(store, TEXT, version).version > version
