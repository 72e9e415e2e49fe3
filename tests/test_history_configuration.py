"""Concurrent operators with lost responses: configuration and keys are linearizable."""

import math
import random
import time
from concurrent import futures

import pytest

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.store import apply, client, configuration, position
from tests import history_configuration as history

TEXT = "[services.booking]\n"
OPERATORS = 4
ROUNDS = 10
SECRET = "fleet-secret"


class _UnconditionalClient(client.ObjectClient):
    """Planted fault: ignores the given version and writes over whichever version is current."""

    def put(self, kind, name, value, version):
        try:
            version = self.get(kind, name).version
        except errors.NotFoundError:
            version = position.START
        return super().put(kind, name, value, version)


def _connect(server, cls=client.ObjectClient):
    return cls("{}:{}".format(*server.server_address), 5.0)


def _timed_read(store):
    began = time.monotonic()
    try:
        stored = store.get(configuration.KIND, configuration.NAME)
    except errors.NotFoundError:
        stored = client.StoredObject(configuration.KIND, configuration.NAME, position.START, {})
    value = stored.value.get("change_id")
    return stored, history.Operation(began, time.monotonic(), "read", value)


def _timed_apply(store, base):
    began, written_change_ids = time.monotonic(), []

    class RecordingClient:
        get = store.get

        def put(self, kind, name, value, version):
            written_change_ids.append(value["change_id"])
            return store.put(kind, name, value, version)

    succeeded, ended = True, None
    try:
        apply.apply(RecordingClient(), TEXT, base.version)
    except errors.ConflictError:
        succeeded = False
    except errors.PlatformUnavailableError:
        ended = math.inf
    change = written_change_ids[0] if written_change_ids else "refused before any write"
    return history.Operation(
        began, ended or time.monotonic(), "apply", change, base.value.get("change_id"), succeeded
    )


def _read_and_apply_repeatedly(store, seed, faults):
    rng, operations = random.Random(seed), []
    for _ in range(ROUNDS):
        stored, operation = _timed_read(store)
        operations.append(operation)
        if rng.random() < 0.3:
            faults({"lose_answers": rng.randint(1, 2)})
        operations.append(_timed_apply(store, stored))
    return operations


def _run_concurrently(task):
    with futures.ThreadPoolExecutor(OPERATORS) as executor:
        histories = executor.map(task, range(OPERATORS))
        return [operation for operations in histories for operation in operations]


def test_configuration_is_linearizable(server):
    store, faults = _connect(server), server.RequestHandlerClass.platform.change_faults
    found = _run_concurrently(lambda seed: _read_and_apply_repeatedly(store, seed, faults))
    assert history.is_linearizable(found, history.configuration_step)
    applied = [item for item in found if item.name == "apply" and item.succeeded]
    assert len({item.base for item in applied if item.answered}) > OPERATORS


class _OutdatedFirstRead:
    """Returns an outdated result for the first read; only the write can detect the conflict."""

    def __init__(self, store):
        self._store = store
        self._first_errors = [errors.NotFoundError("outdated copy", position.START)]

    def get(self, kind, name):
        if self._first_errors:
            raise self._first_errors.pop()
        return self._store.get(kind, name)

    def put(self, kind, name, value, version):
        return self._store.put(kind, name, value, version)


@pytest.mark.parametrize(
    ("cls", "expected"), [(client.ObjectClient, True), (_UnconditionalClient, False)]
)
def test_the_checker_detects_writes_without_a_version_condition(server, cls, expected):
    store = _connect(server, cls)
    stored, read = _timed_read(store)
    found = [read, _timed_apply(store, stored), _timed_apply(_OutdatedFirstRead(store), stored)]
    assert [item.succeeded for item in found] == [True, True, not expected]
    assert history.is_linearizable(found, history.configuration_step) is expected


@pytest.mark.parametrize(
    ("operations", "expected"),
    [
        ([("apply", 0, 1, "a", None), ("read", 2, 3, None, None)], False),
        ([("apply", 0, 4, "a", None), ("read", 2, 3, None, None)], True),
        ([("apply", 0, math.inf, "a", None), ("read", 2, 3, None, None)], True),
        (
            [
                ("apply", 0, math.inf, "a", None),
                ("read", 2, 3, "a", None),
                ("read", 4, 5, None, None),
            ],
            False,
        ),
        ([("apply", 0, 3, "a", None), ("apply", 1, 2, "b", None)], False),
        ([("apply", 0, 3, "a", "b"), ("apply", 1, 2, "b", None)], True),
    ],
)
def test_the_checker_on_given_histories(operations, expected):
    found = [
        history.Operation(began, ended, name, value, base)
        for name, began, ended, value, base in operations
    ]
    assert history.is_linearizable(found, history.configuration_step) is expected


def _withdraw_and_read(store, key_id, faults, seed):
    rng, operations = random.Random(seed), []
    for _ in range(ROUNDS):
        began = time.monotonic()
        stored = store.get(keys.KIND, key_id)
        state = "withdrawn" if stored.value["withdrawn"] else "valid"
        operations.append(history.Operation(began, time.monotonic(), "read", state))
        if rng.random() < 0.2:
            faults({"lose_answers": 1})
            began, ended = time.monotonic(), None
            try:
                keys.withdraw(store, key_id)
            except errors.PlatformUnavailableError:
                ended = math.inf
            ended = ended or time.monotonic()
            operations.append(history.Operation(began, ended, "withdraw", "withdrawn"))
    return operations


def test_keys_are_linearizable(server):
    store, faults = _connect(server), server.RequestHandlerClass.platform.change_faults
    began = time.monotonic()
    granted = keys.grant(store, SECRET, "ward")
    grant = history.Operation(began, time.monotonic(), "grant", "valid")
    found = _run_concurrently(lambda seed: _withdraw_and_read(store, granted.key_id, faults, seed))
    assert history.is_linearizable([grant, *found], history.key_step)
    assert any(item.name == "withdraw" for item in found)
    last_end = max(item.ended for item in found if item.answered)
    revived = history.Operation(last_end + 1, last_end + 2, "read", "valid")
    assert not history.is_linearizable([grant, *found, revived], history.key_step)
