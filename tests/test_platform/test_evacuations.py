"""Evacuations from the platform's store to the choice of nodes and the gates of the domain."""

import random

import attrs
import pytest

from bergamotridge import settings
from bergamotridge.nodes import evacuated_directory, listing_message, record
from bergamotridge.store import evacuations, freshness, read_policy, restorations, watch
from tests.test_platform import test_node_environment, wire_store

ZONES = ("a", "b")
CANDIDATES = tuple(
    record.UpstreamRecord(
        f"h{number}", 1, 1, zone, "r", "slots", record.State.READY, 10, 0.0, "", ""
    )
    for number, zone in enumerate(ZONES)
)


class _Members:
    def candidates(self, service):
        del service
        return CANDIDATES

    def forgotten_leave(self, host, now):
        raise AssertionError


@attrs.define
class Node:
    """A node that reads the store itself, or learns from another one."""

    transport: wire_store.WireTransport
    replica: evacuations.Evacuations
    watcher: watch.Watcher
    directory: evacuated_directory.EvacuatedDirectory

    def zones(self):
        """Returns the failure domains to which the node sends calls."""
        return "".join(item.failure_domain for item in self.directory.candidates("slots"))

    def learn_from(self, other):
        """Fetches from another node, in the form of their messages."""
        message = listing_message.encode(other.replica.listing_since(self.replica.version))
        self.replica.apply_listing(listing_message.decode(evacuations.KIND, message))


def start(store):
    from hosting import metadata_store

    rng = random.Random(1)
    transport = wire_store.WireTransport(store, rng, lambda: None)
    objects = metadata_store.MetadataStore(transport, restorations.Restorations())
    known = evacuations.Evacuations()
    watcher = watch.Watcher(
        objects,
        known,
        freshness.Freshness(),
        watch.WatchTimings(wait_s=1.0, min_interval_s=0.0, backoff_base_s=0.0, backoff_cap_s=0.0),
        rng,
        lambda: read_policy.ALWAYS_WATCH,
    )
    directory = evacuated_directory.EvacuatedDirectory(_Members(), lambda: known.domains)
    return Node(transport, known, watcher, directory)


# Guards against an evacuation that a store outage or a restart ends, or that never ends.
def test_an_evacuation_lasts_through_an_outage_and_restarts_until_it_is_taken_back():
    store = wire_store.WireStore()
    watching, other = start(store), start(store)
    watching.watcher.request_once()
    assert watching.zones() == "ab"
    store.write(evacuations.KIND, "a", {})
    watching.watcher.request_once()
    other.learn_from(watching)
    store.down = True
    watching.watcher.request_once()
    assert (watching.zones(), other.zones()) == ("b", "b")
    restarted = start(store)
    restarted.watcher.request_once()
    assert restarted.zones() == "ab", "it knows of nothing yet"
    restarted.learn_from(other)
    assert restarted.zones() == "b"
    store.down = False
    store.delete(evacuations.KIND, "a")
    watching.watcher.request_once()
    for node in (other, restarted):
        node.learn_from(watching)
        assert node.zones() == "ab"


# Guards against an evacuation that stays after changes were missed: by compaction, by restoration.
@pytest.mark.parametrize("loss", ["compact", "restore"])
def test_a_deletion_that_no_event_reports_ends_the_evacuation(loss):
    store = wire_store.WireStore()
    node = start(store)
    store.now = 10.0
    store.write(evacuations.KIND, "a", {})
    node.watcher.request_once()
    assert node.zones() == "b"
    if loss == "compact":
        store.delete(evacuations.KIND, "a")
        store.compact()
    else:
        store.restore(5.0)
    for _ in range(2):
        node.watcher.request_once()
    assert node.zones() == "ab"


# Guards against requests to the store in quick succession while there is no evacuation.
def test_a_kind_without_objects_is_listed_once_and_then_watched():
    store = wire_store.WireStore()
    node = start(store)
    for _ in range(5):
        node.watcher.request_once()
    assert ["watch=" in path for _, path in store.requests] == [False, True, True, True, True]


# Guards against calls to a domain whose object has no spec, and against harm by odd names.
def test_an_object_without_a_spec_counts_and_odd_names_change_nothing():
    store = wire_store.WireStore()
    node = start(store)
    node.watcher.request_once()
    for name in ("nowhere", "b/c", "\u00e9", "x" * 200):
        store.write(evacuations.KIND, name, ["odd"])
    node.watcher.request_once()
    assert node.zones() == "ab"
    store.write(evacuations.KIND, "a", None)
    del store.objects[evacuations.KIND, "a"]["spec"]
    node.watcher.request_once()
    assert node.zones() == "b"
    anew = start(store)
    anew.watcher.request_once()
    assert anew.zones() == "b"
    store.write(evacuations.KIND, "b", {})
    node.watcher.request_once()
    assert node.zones() == ""


# Guards against store requests of deployments without evacuations, and against late news.
def test_only_a_bound_in_the_settings_turns_evacuations_on():
    from hosting import machine_settings, node_environment

    def make(bounds):
        lines = test_node_environment.LINES.replace("grace=6s", f"grace=6s{bounds}")
        return node_environment.make_node_settings(machine_settings.parse(lines)).platform

    assert not settings.Platform().evacuations
    assert not make("").evacuations
    assert make(",evacuate=5000ms").evacuations
    assert make(",evacuate=5000ms").max_age_s == make("").max_age_s
    assert make(",evacuate=1s").max_age_s == 0.75
