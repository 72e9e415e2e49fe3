"""Claims: the call of a key runs at most once, and refusals carry true verdicts."""

import concurrent.futures
import contextlib
import threading

import hypothesis
import orjson
import pytest

from bergamotridge import errors, verdict
from bergamotridge.callers import answers, claims
from bergamotridge.store import claim_objects
from standins import processes, store
from tests import fake_objects, odd_values

TIMEOUT_S = 10
ANSWER = answers.StoredAnswer(201, (("Content-Type", "text/plain"),), b"paid")


def test_repeat_joins_and_gets_the_first_answer():
    node_claims = claims.Claims("h1", 1)
    key = node_claims.issue(0.0)
    first = node_claims.begin(key, "utrecht", "pay", 0.0)
    joined = node_claims.begin(key, "utrecht", "pay", 0.1)
    assert (first.first, joined.first) == (True, False)
    assert joined.wait(0.0) is None
    first.finish(verdict.Verdict.RUN, ANSWER, 0.2)
    assert joined.wait(0.0) == ANSWER
    assert node_claims.begin(key, "utrecht", "pay", 1.0).wait(0.0) == ANSWER
    assert node_claims.begin(key, "leiden", "pay", 1.0).first


# Each call with a chosen key waited for a silent store, those above the limit of claims as well.
def test_calls_with_chosen_keys_above_the_limit_do_not_wait_for_the_record_of_restorations():
    may_confirm, asked = threading.Event(), []

    def confirm():
        asked.append(1)
        may_confirm.wait()
        raise errors.PlatformUnavailableError("no answer")

    client = fake_objects.FakeObjects(store.Store())
    node_claims = claims.Claims("h1", 1, client, confirm_restorations=confirm)
    within = int(claims.CLAIMS_PER_S * claims.BURST_S)
    with (
        concurrent.futures.ThreadPoolExecutor(within + 1) as executor,
        contextlib.ExitStack() as end,
    ):
        end.callback(may_confirm.set)
        calls = [
            executor.submit(node_claims.begin, f"key-{number}", "utrecht", "pay", 0.0)
            for number in range(within)
        ]
        processes.wait_until(lambda: len(asked) == within, "all within the limit wait")
        further = executor.submit(node_claims.begin, "key", "utrecht", "pay", 0.0)
        refusal = further.exception(TIMEOUT_S)
        may_confirm.set()
        refusals = [refusal, *(item.exception(TIMEOUT_S) for item in calls)]
    assert "too many" in str(refusal) and len(asked) == within
    assert {item.verdict for item in refusals} == {verdict.Verdict.MAY_HAVE_RUN}


def test_only_not_run_releases_the_key():
    node_claims = claims.Claims("h1", 1)
    key = node_claims.issue(0.0)
    node_claims.begin(key, "utrecht", "pay", 0.0).finish(verdict.Verdict.NOT_RUN, None, 0.1)
    second = node_claims.begin(key, "utrecht", "pay", 0.2)
    assert second.first
    second.finish(verdict.Verdict.MAY_HAVE_RUN, None, 0.3)
    with pytest.raises(errors.CallError) as caught:
        node_claims.begin(key, "utrecht", "pay", 0.4)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_later_incarnation_other_host_and_expired_key_are_refused_with_may_have_run():
    node_claims = claims.Claims("h1", 1, key_lifetime_s=60.0)
    key = node_claims.issue(0.0)
    assert claims.Claims("h2", 7).home_host(key) == "h1"
    for asked_claims, now in (
        (claims.Claims("h1", 2), 0.0),
        (claims.Claims("h2", 1), 0.0),
        (node_claims, 60.0),
    ):
        with pytest.raises(errors.CallError) as caught:
            asked_claims.begin(key, "utrecht", "pay", now)
        assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_an_expired_claim_is_evicted_and_a_running_one_is_not():
    node_claims = claims.Claims("h1", 1, key_lifetime_s=60.0, capacity=2)
    node_claims.begin(node_claims.issue(0.0), "utrecht", "pay", 0.0)
    finished = node_claims.begin(node_claims.issue(0.0), "utrecht", "pay", 0.0)
    finished.finish(verdict.Verdict.RUN, ANSWER, 1.0)
    with pytest.raises(errors.CallError) as caught:
        node_claims.begin(node_claims.issue(59.0), "utrecht", "pay", 59.0)
    assert caught.value.verdict is verdict.Verdict.NOT_RUN
    assert node_claims.begin(node_claims.issue(61.0), "utrecht", "pay", 61.0).first


def test_a_chosen_key_runs_at_one_node_and_other_nodes_return_its_host():
    shared = store.Store()
    first, second = (claims.Claims(host, 1, fake_objects.FakeObjects(shared)) for host in "ab")
    first.begin("mine", "utrecht", "pay", 0.0).finish(verdict.Verdict.RUN, ANSWER, 1.0)
    with pytest.raises(errors.ClaimedElsewhereError) as caught:
        second.begin("mine", "utrecht", "pay", 2.0)
    assert (caught.value.host, caught.value.verdict) == ("a", verdict.Verdict.MAY_HAVE_RUN)


def test_a_chosen_key_whose_claim_was_evicted_is_refused_with_may_have_run():
    client = fake_objects.FakeObjects(store.Store())
    node_claims = claims.Claims("a", 1, client, key_lifetime_s=60.0, capacity=1)
    for key, now in (("mine", 0.0), ("other", 61.0)):
        node_claims.begin(key, "utrecht", "pay", now).finish(verdict.Verdict.RUN, ANSWER, now)
    with pytest.raises(errors.CallError) as caught:
        node_claims.begin("mine", "utrecht", "pay", 122.0)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_a_chosen_key_that_has_not_run_can_be_claimed_again_without_the_platform():
    client = fake_objects.FakeObjects(store.Store())
    node_claims = claims.Claims("a", 1, client)
    node_claims.begin("mine", "utrecht", "pay", 0.0).finish(verdict.Verdict.NOT_RUN, None, 0.0)
    client.faults.outage = True
    assert node_claims.begin("mine", "utrecht", "pay", 1.0).first


def test_a_claim_whose_platform_answer_was_lost_is_confirmed_at_the_next_repeat():
    client = fake_objects.FakeObjects(store.Store())
    node_claims = claims.Claims("a", 1, client)
    client.faults.lose_answers = 1
    with pytest.raises(errors.CallError) as caught:
        node_claims.begin("mine", "utrecht", "pay", 0.0)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert node_claims.begin("mine", "utrecht", "pay", 1.0).first


def test_stored_answers_are_bounded_and_a_repeat_after_eviction_gets_the_verdict_run():
    cache = answers.AnswerCache(max_total_bytes=3 * ANSWER.size_bytes)
    node_claims = claims.Claims("h1", 1, answer_cache=cache)
    keys = [node_claims.issue(0.0) for _ in range(4)]
    for key in keys:
        node_claims.begin(key, "utrecht", "pay", 0.0).finish(verdict.Verdict.RUN, ANSWER, 0.1)
    assert node_claims.begin(keys[3], "utrecht", "pay", 0.2).wait(0.0) == ANSWER
    with pytest.raises(errors.CallError) as caught:
        node_claims.begin(keys[0], "utrecht", "pay", 0.2)
    assert caught.value.verdict is verdict.Verdict.RUN


# Callers were told of too many calls, though the node had no platform to store any claim in.
def test_a_chosen_key_without_a_platform_is_refused_for_its_true_cause():
    with pytest.raises(errors.CallError, match="no platform"):
        claims.Claims("h1", 1).begin("chosen", "utrecht", "pay", 0.0)


# The values went on as they were: a host that is a list raised TypeError, status 500.
@odd_values.SETTINGS
@hypothesis.given(
    text=odd_values.changed({"host": "h2", "incarnation": 1, "attempt": 1}) | odd_values.TEXTS
)
def test_whatever_a_claim_object_holds_the_call_is_refused_with_a_verdict(text):
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return
    # Stores null as a deletion.
    hypothesis.assume(value is not None)
    shared = store.Store()
    name = claim_objects.object_name("utrecht", "chosen")
    shared.put(claim_objects.KIND, name, 0, value)
    node_claims = claims.Claims("h1", 1, fake_objects.FakeObjects(shared))
    with pytest.raises(errors.CallError) as caught:
        node_claims.begin("chosen", "utrecht", "pay", 0.0)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert isinstance(getattr(caught.value, "host", ""), str)


# A comparison of texts beyond ASCII raised TypeError, status 500.
def test_a_forged_key_with_a_foreign_tag_is_refused():
    node_claims = claims.Claims("h1", 1)
    forged = node_claims.issue(0.0).rpartition("~")[0] + "~\u00e9"
    with pytest.raises(errors.CallError) as caught:
        node_claims.begin(forged, "utrecht", "pay", 0.0)
    assert caught.value.reason == "idempotency-forged"
