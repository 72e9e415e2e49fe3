"""Claims: a key runs at most once and a refusal tells the truth."""

import pytest

from bergamotridge import errors, verdict
from bergamotridge.callers import answers, claims
from standins import store
from tests import fake_objects

ANSWER = answers.StoredAnswer(201, (("Content-Type", "text/plain"),), b"paid")


def test_repeat_joins_and_gets_the_first_answer():
    store = claims.Claims("h1", 1)
    key = store.issue(0.0)
    first = store.begin(key, "utrecht", "pay", 0.0)
    joined = store.begin(key, "utrecht", "pay", 0.1)
    assert (first.first, joined.first) == (True, False)
    assert joined.wait(0.0) is None
    first.finish(verdict.Verdict.RUN, ANSWER, 0.2)
    assert joined.wait(0.0) == ANSWER
    assert store.begin(key, "utrecht", "pay", 1.0).wait(0.0) == ANSWER
    assert store.begin(key, "leiden", "pay", 1.0).first


def test_only_not_run_frees_the_key():
    store = claims.Claims("h1", 1)
    key = store.issue(0.0)
    store.begin(key, "utrecht", "pay", 0.0).finish(verdict.Verdict.NOT_RUN, None, 0.1)
    again = store.begin(key, "utrecht", "pay", 0.2)
    assert again.first
    again.finish(verdict.Verdict.MAY_HAVE_RUN, None, 0.3)
    with pytest.raises(errors.CallError) as caught:
        store.begin(key, "utrecht", "pay", 0.4)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_a_later_incarnation_another_host_and_an_expired_key_are_refused_as_doubt():
    store = claims.Claims("h1", 1, key_lifetime_s=60.0)
    key = store.issue(0.0)
    assert claims.Claims("h2", 7).home(key) == "h1"
    for other, now in (
        (claims.Claims("h1", 2), 0.0),
        (claims.Claims("h2", 1), 0.0),
        (store, 60.0),
    ):
        with pytest.raises(errors.CallError) as caught:
            other.begin(key, "utrecht", "pay", now)
        assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_an_expired_claim_makes_room_and_a_running_one_does_not():
    store = claims.Claims("h1", 1, key_lifetime_s=60.0, capacity=2)
    store.begin(store.issue(0.0), "utrecht", "pay", 0.0)
    done = store.begin(store.issue(0.0), "utrecht", "pay", 0.0)
    done.finish(verdict.Verdict.RUN, ANSWER, 1.0)
    with pytest.raises(errors.CallError) as caught:
        store.begin(store.issue(59.0), "utrecht", "pay", 59.0)
    assert caught.value.verdict is verdict.Verdict.NOT_RUN
    assert store.begin(store.issue(61.0), "utrecht", "pay", 61.0).first


def test_a_chosen_key_runs_at_one_node_and_names_it_to_the_others():
    shared = store.Store()
    first, second = (claims.Claims(host, 1, fake_objects.FakeObjects(shared)) for host in "ab")
    first.begin("mine", "utrecht", "pay", 0.0).finish(verdict.Verdict.RUN, ANSWER, 1.0)
    with pytest.raises(errors.ClaimedElsewhereError) as caught:
        second.begin("mine", "utrecht", "pay", 2.0)
    assert (caught.value.host, caught.value.verdict) == ("a", verdict.Verdict.MAY_HAVE_RUN)


def test_a_chosen_key_whose_claim_was_forgotten_is_doubt():
    client = fake_objects.FakeObjects(store.Store())
    held = claims.Claims("a", 1, client, key_lifetime_s=60.0, capacity=1)
    for key, now in (("mine", 0.0), ("other", 61.0)):
        held.begin(key, "utrecht", "pay", now).finish(verdict.Verdict.RUN, ANSWER, now)
    with pytest.raises(errors.CallError) as caught:
        held.begin("mine", "utrecht", "pay", 122.0)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_a_chosen_key_that_has_not_run_is_free_without_the_platform():
    client = fake_objects.FakeObjects(store.Store())
    held = claims.Claims("a", 1, client)
    held.begin("mine", "utrecht", "pay", 0.0).finish(verdict.Verdict.NOT_RUN, None, 0.0)
    client.faults.outage = True
    assert held.begin("mine", "utrecht", "pay", 1.0).first


def test_a_lost_answer_of_the_claim_is_resolved_at_the_next_repeat():
    client = fake_objects.FakeObjects(store.Store())
    held = claims.Claims("a", 1, client)
    client.faults.lose_answers = 1
    with pytest.raises(errors.CallError) as caught:
        held.begin("mine", "utrecht", "pay", 0.0)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert held.begin("mine", "utrecht", "pay", 1.0).first


def test_kept_answers_are_bounded_and_a_forgotten_one_still_tells_that_the_call_ran():
    memory = answers.AnswerMemory(total_bytes=3 * ANSWER.size)
    store = claims.Claims("h1", 1, memory=memory)
    keys = [store.issue(0.0) for _ in range(4)]
    for key in keys:
        store.begin(key, "utrecht", "pay", 0.0).finish(verdict.Verdict.RUN, ANSWER, 0.1)
    assert store.begin(keys[3], "utrecht", "pay", 0.2).wait(0.0) == ANSWER
    with pytest.raises(errors.CallError) as caught:
        store.begin(keys[0], "utrecht", "pay", 0.2)
    assert caught.value.verdict is verdict.Verdict.RUN
