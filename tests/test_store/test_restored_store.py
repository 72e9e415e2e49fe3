"""A store that comes back from an earlier copy, read by the watch task of a node."""

import contextlib
import random
import time

import pytest

from bergamotridge import errors
from bergamotridge.store import apply, client, configuration, freshness, read_policy, watch

TEXT = "[services.booking]\n[teams.{}]\nrate = 1\nburst = 1\n"
TIMINGS = watch.WatchTimings(
    max_first_delay_s=0.01,
    max_age_s=0.1,
    wait_s=0.5,
    backoff_base_s=0.01,
    backoff_cap_s=0.05,
    min_interval_s=0.0,
    max_check_s=0.01,
)
TIMEOUT_S = 20.0


@contextlib.contextmanager
def _running_node(server, duty):
    store = client.ObjectClient("{}:{}".format(*server.server_address), 5.0)
    replica, known = configuration.ConfigurationStore(), freshness.Freshness()
    task = watch.Watcher(store, replica, known, TIMINGS, random.Random(1), lambda: duty)
    task.start()
    try:
        yield store, replica, known
    finally:
        task.stop()
        store.close()


def _apply(store, team):
    """Applies a text with one team to what the store has, and returns the new version."""
    try:
        current = store.get(configuration.KIND, configuration.NAME).version
    except errors.NotFoundError as error:
        current = error.version
    return apply.apply(store, TEXT.format(team), current).version


def _teams(replica):
    return list(replica.current.text.teams) if replica.current else []


def _wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


DUTIES = [read_policy.ALWAYS_WATCH, read_policy.ReadDuty(1.0, retry_cap_s=0.05)]


# A route confirmed after the store had come back from a copy was not in force: its revision was
# below those that the nodes had seen, or had been given out before.
@pytest.mark.parametrize("lost_changes", [1, 3])
@pytest.mark.parametrize("duty", DUTIES)
def test_a_text_confirmed_after_a_restoration_comes_into_force(server, duty, lost_changes):
    with _running_node(server, duty) as (store, replica, _):
        copied = _apply(store, "copied")
        for number in range(lost_changes):
            _apply(store, f"lost{number}")
        _wait_until(lambda: _teams(replica) == [f"lost{lost_changes - 1}"])
        server.RequestHandlerClass.platform.store.restore(getattr(copied, "revision", copied))
        _apply(store, "confirmed")
        _wait_until(lambda: _teams(replica) == ["confirmed"])


# An older configuration came back, since the copy had it.
@pytest.mark.parametrize("duty", DUTIES)
def test_the_text_in_force_stays_when_the_copy_has_an_earlier_one(server, duty):
    with _running_node(server, duty) as (store, replica, known):
        copied = _apply(store, "copied")
        _apply(store, "lost")
        _wait_until(lambda: _teams(replica) == ["lost"])
        server.RequestHandlerClass.platform.store.restore(copied.revision)
        restored_at = known.as_of(configuration.KIND)
        _wait_until(lambda: replica.version.seen.epoch == 1)
        _wait_until(lambda: known.as_of(configuration.KIND) > restored_at)
        assert _teams(replica) == ["lost"]
