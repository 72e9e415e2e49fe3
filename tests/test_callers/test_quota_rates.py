"""Team rates over several nodes with threads and gRPC, through a kill and planned stops."""

import random
import time
from concurrent import futures

import attrs
import logbook
import pytest

from bergamotridge import errors, malformed
from bergamotridge.callers import quota_rates, read_pauses
from bergamotridge.nodes import control, quota, record
from bergamotridge.operators import operator_text
from bergamotridge.store import holding
from bergamotridge.store import quota as quota_object
from bergamotridge.util import clock
from standins import processes, store
from tests import event_loop, fake_objects, history_rates

TEAM = operator_text.Team("utrecht", rate=150.0, burst=30)
OTHER_TEAM = operator_text.Team("delft", rate=150.0, burst=30)  # Of another group.
SETTINGS = quota_rates.QuotaSettings(
    timings=holding.Timings(
        lease_s=60.0, renew_s=10.0, adjust_s=0.1, token_lifetime_s=0.5, join_after_s=0.2
    ),
    per_domain=1,
    draw_interval_s=0.02,
)
SECRET = "s"
WORKERS = 4
CALLS_PER_WORKER = 300
PAUSE_S = 0.004
MAX_POLLS = 5000


@attrs.define(eq=False)
class Node:
    """Team rates of one node, with its control port."""

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

    def start(self, host, address, *more_teams, on_malformed=malformed.ignore):
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
            lambda: {team.name: team for team in (TEAM, *more_teams)},
            SETTINGS,
            on_malformed=on_malformed,
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
        """Ends a process that cannot reach the platform and starts another on its port."""
        self.nodes[host].objects.faults.outage = True
        self.stop(host)
        self.start(host, self.members[host].control_address)

    def wait_for_holders(self, count, team=TEAM):
        for _ in range(MAX_POLLS):
            if len(self.holders(team)) >= count:
                return
            time.sleep(PAUSE_S)
        raise AssertionError("fewer holders than expected joined the quota in time")

    def holders(self, team=TEAM):
        group = quota_object.group_name(team.name, SETTINGS.groups)
        stored = self.store.get(quota_object.KIND, group)
        quotas = quota_object.decode_group(stored.value).quotas if stored else {}
        return [share.host for share in quotas.get(team.name, quota_object.Quota()).shares]


def make_calls(fleet, seed):
    rng = random.Random(seed)
    spans = []
    for _ in range(CALLS_PER_WORKER):
        node = fleet.nodes[rng.choice(sorted(fleet.nodes))]
        start = clock.boot_time()
        try:
            event_loop.run(node.rates.take(TEAM.name, start))
        except errors.CallError as error:
            assert error.reason == "rate"
        else:
            if rng.random() < 0.1:
                node.rates.give_back(TEAM.name, clock.boot_time(), start)
            else:
                spans.append((start, clock.boot_time()))
        time.sleep(PAUSE_S)
    return spans


def test_rate_holds_in_every_window_through_a_kill_and_planned_stops_return_all_shares():
    fleet = Fleet(["a0", "a1", "b0", "b1"])
    with futures.ThreadPoolExecutor(WORKERS) as pool:
        fleet.wait_for_holders(2)
        workers = [pool.submit(make_calls, fleet, seed) for seed in range(WORKERS)]
        fleet.replace(fleet.holders()[0])
        spans = [span for worker in workers for span in worker.result()]
    assert len(spans) > TEAM.burst
    assert history_rates.worst_excess_of_spans(spans, TEAM.rate, TEAM.burst) <= 0.0
    for host in fleet.nodes:
        fleet.stop(host)
    assert fleet.holders() == []


# Nodes that had started together read the quota objects within milliseconds of each other, once a
# second, and almost half of their writes conflicted.
def test_hosts_that_start_together_do_not_read_in_step_until_they_have_joined():
    pauses = [read_pauses.ReadPauses(5.0, random.Random(seed)) for seed in range(16)]
    times = sorted(sum(item.next_join_pause_s() for _ in range(3)) for item in pauses)
    assert times[-1] <= 3 * 1.5 * read_pauses.MEAN_JOIN_PAUSE_S
    assert times[-1] - times[0] > 0.5
    assert max(sum(at <= other < at + 0.05 for other in times) for at in times) <= 4


def test_quota_is_not_read_before_the_teams_are_known():
    fleet, teams, team_counts = Fleet([]), {}, []

    def list_teams():
        team_counts.append(len(teams))
        return teams

    rates = quota_rates.QuotaRates(
        "c0",
        1,
        "c",
        objects := fake_objects.FakeObjects(fleet.store),
        None,
        list,
        list_teams,
        SETTINGS,
    )
    rates.start()
    while len(team_counts) < 40:
        time.sleep(PAUSE_S)
    assert objects.reads == 0
    teams[TEAM.name] = TEAM
    while not objects.reads:
        time.sleep(PAUSE_S)
    rates.stop()


def test_reported_tokens_are_those_of_the_share_and_the_drawn_ones():
    fleet = Fleet(["a0", "b0"])
    fleet.wait_for_holders(2)
    for _ in range(MAX_POLLS):
        token_counts = [
            fleet.nodes[host].rates.tokens().get(TEAM.name, 0.0) for host in ("a0", "b0")
        ]
        if min(token_counts) >= 1.0:
            break
        time.sleep(PAUSE_S)
    assert min(token_counts) >= 1.0
    assert sum(token_counts) <= TEAM.burst
    for host in fleet.nodes:
        fleet.stop(host)


ODD_SHARES = (
    ["x", 1, "x", 10, 1, "much"],
    ["x", 1, "x", 10, 1, None],
    ["x", 1, "x", 10, [1], 1.0],
    ["x", 1, "x", "10", 1, 1.0],
    ["x", 1, "x", 10, 1, 1e308],
    ["x", 1, "x", 10**18, 1, 1.0],
    [["x"], 1, "x", 10, 1, 1.0],
    ["x"],
    "x",
)


# Such an object ended the thread that renews the shares of all teams, without a word in the log;
# calls of all teams were refused from the end of the leases until the node was restarted.
@pytest.mark.parametrize("odd", ODD_SHARES)
def test_an_odd_quota_object_is_left_alone_until_it_is_mended_and_others_hold(odd):
    fleet, reports = Fleet([]), []
    group = quota_object.group_name(TEAM.name, SETTINGS.groups)
    version = fleet.store.put(quota_object.KIND, group, 0, {"teams": {TEAM.name: [odd]}})
    fleet.start("a0", "127.0.0.1:0", OTHER_TEAM, on_malformed=reports.append)
    fleet.wait_for_holders(1, OTHER_TEAM)
    assert fleet.store.get(quota_object.KIND, group).version == version
    assert {(report.source, report.name) for report in reports} == {(quota_object.KIND, group)}
    fleet.store.put(quota_object.KIND, group, version, {"teams": {}})
    fleet.wait_for_holders(1)
    fleet.stop("a0")


# Neither the lease of a share nor the lifetime of a token passed while a machine was suspended.
def test_a_share_is_not_used_after_a_suspension_that_outlasted_its_lease(monkeypatch):
    suspended_s = [0.0]
    monkeypatch.setattr(clock, "boot_time", lambda: time.monotonic() + suspended_s[0])
    fleet = Fleet(["a0"])
    node = fleet.nodes["a0"]
    for _ in range(MAX_POLLS):
        if node.rates.tokens().get(TEAM.name, 0.0) >= 1.0:
            break
        time.sleep(PAUSE_S)
    tokens_before = node.rates.tokens()[TEAM.name]
    node.objects.faults.outage = True
    suspended_s[0] = SETTINGS.timings.lease_s
    tokens_after = node.rates.tokens()
    fleet.stop("a0")
    assert tokens_before >= 1.0
    assert tokens_after == {TEAM.name: 0.0}


# A stop whose connections ended late gave no share back if the platform had failed when it began.
def test_shares_go_back_in_a_stop_once_the_platform_answers_again():
    fleet = Fleet(["a0"])
    fleet.wait_for_holders(1)
    node = fleet.nodes["a0"]
    node.objects.faults.outage = True
    with logbook.TestHandler().applicationbound() as log:
        node.rates.start_return()
        processes.wait_until(
            lambda: any("not returned" in record.message for record in log.records),
            "the first try has failed",
        )
    node.objects.faults.outage = False
    processes.wait_until(lambda: not fleet.holders(), "the shares are back")
    fleet.stop("a0")
