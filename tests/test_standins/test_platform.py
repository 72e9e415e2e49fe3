"""The platform stand-in implements the object API correctly, also with injected faults."""

import http.client
import io
import json
import threading

import pytest

from standins import platform, store


@pytest.fixture
def send():
    server = platform.start("127.0.0.1:0")

    def request(method: str, path: str, value: object = None):
        connection = http.client.HTTPConnection(*server.server_address, timeout=10)
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, json.loads(response.read())

    yield request
    server.shutdown()
    server.server_close()


def test_writes_are_conditional_and_deletes_leave_a_tombstone(send):
    assert send("PUT", "/objects/keys/a?version=0", 1) == (200, {"version": 1})
    assert send("PUT", "/objects/keys/a?version=0", 2) == (409, {"version": 1})
    assert send("PUT", "/objects/keys/a?version=1", 2) == (200, {"version": 2})
    assert send("DELETE", "/objects/keys/b?version=1")[0] == 404
    assert send("DELETE", "/objects/keys/a?version=2")[0] == 200
    assert send("GET", "/objects/keys/a")[0] == 404
    tombstone = {"kind": "keys", "name": "a", "version": 3, "value": None}
    assert send("GET", "/watch/keys?since=2&wait_s=0")[1]["items"] == [tombstone]


def test_watch_returns_on_a_change_of_its_kind(send):
    listings = []
    watch = threading.Thread(
        target=lambda: listings.append(send("GET", "/watch/k?since=0&wait_s=9"))
    )
    watch.start()
    send("PUT", "/objects/other/a?version=0", 1)
    send("PUT", "/objects/k/a?version=0", 1)
    watch.join()
    assert [item["name"] for item in listings[0][1]["items"]] == ["a"]


def test_write_with_lost_response_takes_effect(send):
    send("POST", "/faults", {"lose_answers": 1})
    with pytest.raises(http.client.RemoteDisconnected):
        send("PUT", "/objects/k/a?version=0", 1)
    assert send("GET", "/objects/k/a")[1]["value"] == 1


def test_a_restored_store_gives_out_its_revisions_again_in_a_later_epoch(send):
    for version in range(3):
        send("PUT", f"/objects/k/a?version={version}", version)
    assert send("POST", "/restore", {"version": 2}) == (200, {"epoch": 1})
    assert send("GET", "/objects/k/a")[1] == {"kind": "k", "name": "a", "version": 2, "value": 1}
    assert send("GET", "/watch/k?since=3&wait_s=0")[0] == 410
    assert send("PUT", "/objects/k/a?version=2&epoch=0", 9)[0] == 409
    assert send("PUT", "/objects/k/a?version=2&epoch=1", 9) == (200, {"version": 3})
    assert send("GET", "/watch/k?since=2&wait_s=0&epoch=0")[0] == 410
    assert send("GET", "/watch/k?since=2&wait_s=0&epoch=1")[1]["items"][0]["value"] == 9


def test_a_watch_that_waits_ends_when_the_store_is_restored(send):
    answers = []
    send("PUT", "/objects/k/a?version=0", 1)
    watch = threading.Thread(
        target=lambda: answers.append(send("GET", "/watch/k?since=1&wait_s=20&epoch=0"))
    )
    watch.start()
    while not send("GET", "/statistics")[1]["watches"]:
        pass
    send("POST", "/restore", {"version": 0})
    watch.join()
    assert answers[0][0] == 410


def test_stale_reads_and_outage(send):
    send("PUT", "/objects/k/a?version=0", 1)
    send("POST", "/faults", {"stale_reads": True})
    assert send("PUT", "/objects/k/a?version=1", 2)[0] == 200
    assert send("GET", "/objects/k/a")[1]["value"] == 1
    send("POST", "/faults", {"stale_reads": False, "outage": True})
    assert send("GET", "/objects/k/a")[0] == 503
    send("POST", "/faults", {"outage": False, "stale_version": 1})
    assert send("GET", "/objects/k")[1]["items"][0]["value"] == 1
    send("POST", "/faults", {"stale_version": None})
    assert send("GET", "/objects/k/a")[1]["value"] == 2
    assert send("GET", "/statistics")[1] == {"writes": 2, "reads": 4, "watches": 0}


def test_journal_brings_back_all_objects_and_versions():
    journal = io.StringIO()
    objects = store.Store(journal=journal)
    objects.put("keys", "a", 0, {"team": "x"})
    objects.put("keys", "b", 0, 1)
    objects.delete("keys", "b", 2)
    restored = store.Store(store.read_journal(journal.getvalue() + '{"kind": "cut'))
    assert restored.list("keys", since=0) == objects.list("keys", since=0)
    assert restored.put("keys", "a", 1, 2) == 4
