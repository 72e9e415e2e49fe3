"""The platform stand-in keeps the object API's promises, also under its faults."""

import http.client
import json
import threading

import pytest

from standins import platform


@pytest.fixture
def ask():
    server = platform.start("127.0.0.1:0")

    def send(method: str, path: str, value: object = None):
        connection = http.client.HTTPConnection(*server.server_address, timeout=10)
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())

    yield send
    server.shutdown()
    server.server_close()


def test_updates_are_conditional(ask):
    assert ask("PUT", "/objects/keys/a?version=0", 1) == (200, {"version": 1})
    assert ask("PUT", "/objects/keys/a?version=0", 2) == (409, {"version": 1})
    assert ask("PUT", "/objects/keys/a?version=1", 2) == (200, {"version": 2})
    assert ask("DELETE", "/objects/keys/b?version=1")[0] == 404
    assert ask("DELETE", "/objects/keys/a?version=2")[0] == 200
    assert ask("GET", "/objects/keys/a")[0] == 404
    tombstone = {"kind": "keys", "name": "a", "version": 3, "value": None}
    assert ask("GET", "/watch/keys?since=2&wait_s=0")[1]["items"] == [tombstone]


def test_watch_wakes_on_a_change(ask):
    answers = []
    watch = threading.Thread(target=lambda: answers.append(ask("GET", "/watch/k?since=0&wait_s=9")))
    watch.start()
    ask("PUT", "/objects/other/a?version=0", 1)
    ask("PUT", "/objects/k/a?version=0", 1)
    watch.join()
    assert [item["name"] for item in answers[0][1]["items"]] == ["a"]


def test_lost_answer_takes_effect(ask):
    ask("POST", "/faults", {"lose_answers": 1})
    with pytest.raises(http.client.RemoteDisconnected):
        ask("PUT", "/objects/k/a?version=0", 1)
    assert ask("GET", "/objects/k/a")[1]["value"] == 1


def test_stale_reads_and_outage(ask):
    ask("PUT", "/objects/k/a?version=0", 1)
    ask("POST", "/faults", {"stale_reads": True})
    assert ask("PUT", "/objects/k/a?version=1", 2)[0] == 200
    assert ask("GET", "/objects/k/a")[1]["value"] == 1
    ask("POST", "/faults", {"stale_reads": False, "outage": True})
    assert ask("GET", "/objects/k/a")[0] == 503
    ask("POST", "/faults", {"outage": False, "stale_version": 1})
    assert ask("GET", "/objects/k")[1]["items"][0]["value"] == 1
    ask("POST", "/faults", {"stale_version": None})
    assert ask("GET", "/objects/k/a")[1]["value"] == 2
    assert ask("GET", "/statistics")[1] == {"writes": 2, "reads": 4, "watches": 0}
