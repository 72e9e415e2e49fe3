"""Rates over several nodes with real threads and gRPC, through a kill and a planned stop."""

import random
import time
from concurrent import futures

import attrs

from bergamotridge import errors
from bergamotridge.callers import quota_rates
from bergamotridge.nodes import control, quota, record
from bergamotridge.operators import text
from bergamotridge.store import holding
from bergamotridge.store import quota as quota_object
from standins import store
from tests import event_loop, fake_objects, history_rates

TEAM = text.Team("utrecht", rate=150.0, burst=30)
SETTINGS = quota_rates.QuotaSettings(
    timings=holding.Timings(
        lease_s=60.0, renew_s=10.0, adjust_s=0.1, token_lifetime_s=0.5, join_after_s=0.2
    ),
    per_domain=1,
    draw_interval_s=0.02,
)
SECRET = "s"
WORKERS = 4
ATTEMPTS = 300
GAP_S = 0.004
LOOKS = 5000


@attrs.define(eq=False)
class Node:
    """One node's share of the rates and its control port."""

    host: str
    objects: fake_objects.FakeObjects
    server: control.ControlServer
    pool: control.ChannelPool
    rates: quota_rates.QuotaRates


class Fleet:
    def __init__(self, hosts):
        self.store = store.Store()
        self.members = {}
        self.incarnations = 0
        self.nodes = {}
        for host in hosts:
            self.start(host, "127.0.0.1:0")

    def start(self, host, address):
        self.incarnations += 1
        objects = fake_objects.FakeObjects(self.store)
        pool = control.ChannelPool(SECRET)
        rates = quota_rates.QuotaRates(
            host,
            self.incarnations,
            host[0],
            objects,
            quota.QuotaClient(pool),
            lambda: list(self.members.values()),
            lambda: {TEAM.name: TEAM},
            SETTINGS,
        )
        server = control.ControlServer(address, SECRET, [rates])
        self.members[host] = record.UpstreamRecord(
            host, self.incarnations, 1, host[0], "r", "s", record.State.READY, 1, 0.0, "",
            f"127.0.0.1:{server.port}",
        )  # fmt: skip
        server.start()
        rates.start()
        self.nodes[host] = Node(host, objects, server, pool, rates)

    def stop(self, host):
        node = self.nodes[host]
        node.rates.stop()
        node.server.stop(0)
        node.pool.close()

    def replace(self, host):
        """Ends a process without a word to the platform and starts another on its port."""
        self.nodes[host].objects.faults.outage = True
        self.stop(host)
        self.start(host, self.members[host].control_address)

    def wait_for_holders(self, count):
        for _ in range(LOOKS):
            if len(self.holders()) >= count:
                return
            time.sleep(GAP_S)
        raise AssertionError("the holders did not join")

    def holders(self):
        stored = self.store.get(quota_object.KIND, TEAM.name)
        return [share.host for share in quota_object.decode(stored.value).shares] if stored else []


def work(fleet, seed):
    rng = random.Random(seed)
    spans = []
    for _ in range(ATTEMPTS):
        node = fleet.nodes[rng.choice(sorted(fleet.nodes))]
        start = time.monotonic()
        try:
            event_loop.run(node.rates.take(TEAM.name, start))
        except errors.CallError as error:
            assert error.reason == "rate"
        else:
            if rng.random() < 0.1:
                node.rates.give_back(TEAM.name, time.monotonic(), start)
            else:
                spans.append((start, time.monotonic()))
        time.sleep(GAP_S)
    return spans


def test_every_window_holds_through_a_kill_and_planned_stops_return_all_shares():
    fleet = Fleet(["a0", "a1", "b0", "b1"])
    with futures.ThreadPoolExecutor(WORKERS) as pool:
        fleet.wait_for_holders(2)
        workers = [pool.submit(work, fleet, seed) for seed in range(WORKERS)]
        fleet.replace(fleet.holders()[0])
        spans = [span for worker in workers for span in worker.result()]
    assert len(spans) > TEAM.burst
    assert history_rates.worst_excess_of_spans(spans, TEAM.rate, TEAM.burst) <= 0.0
    for host in fleet.nodes:
        fleet.stop(host)
    assert fleet.holders() == []


def test_the_quota_is_first_looked_at_once_the_teams_are_known():
    fleet, teams, asked = Fleet([]), {}, []

    def known():
        asked.append(len(teams))
        return teams

    rates = quota_rates.QuotaRates(
        "c0", 1, "c", objects := fake_objects.FakeObjects(fleet.store), None, list, known, SETTINGS
    )
    rates.start()
    while len(asked) < 40:
        time.sleep(GAP_S)
    assert objects.reads == 0
    teams[TEAM.name] = TEAM
    while not objects.reads:
        time.sleep(GAP_S)
    rates.stop()


def test_the_tokens_at_hand_are_those_of_the_share_and_those_drawn():
    fleet = Fleet(["a0", "b0"])
    fleet.wait_for_holders(2)
    for _ in range(LOOKS):
        told = [fleet.nodes[host].rates.tokens().get(TEAM.name, 0.0) for host in ("a0", "b0")]
        if min(told) >= 1.0:
            break
        time.sleep(GAP_S)
    assert min(told) >= 1.0
    assert sum(told) <= TEAM.burst
    for host in fleet.nodes:
        fleet.stop(host)
