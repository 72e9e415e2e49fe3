"""Loss, partitions, restarts, outages, operators in any order: nodes never revert and converge."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.nodes import record
from bergamotridge.store import configuration
from tests import positions
from tests.test_nodes import fleet, network

HOSTS = 6
SETTLE_S = 60
TEXT = "[teams.t{}]\nrate = 1\nburst = 1\n"
hosts = st.integers(0, HOSTS - 1).map("h{}".format)


class _Writer:
    """Replaces the object client in `keys.grant`; writes to the simulated platform."""

    def __init__(self, platform):
        self._platform = platform

    def put(self, kind, name, value, version):
        return self._platform.write(kind, name, value)


class Fleet(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.network = network.Network(HOSTS, seed=3)
        self.platform = self.network.platform
        self.granted = []
        # Key id -> serials of the processes at which an operator withdrew the key.
        self.told = {}
        # (serial, key id) for each process that has rejected a key as withdrawn.
        self.refused = set()
        # (serial, host) -> latest order of the host's record that the process had.
        self.orders = {}
        self.incarnation = 1
        self._configure()

    @stateful.rule(seconds=st.integers(1, 12))
    def wait(self, seconds):
        for _ in range(seconds):
            self._step()

    @stateful.rule()
    def configure(self):
        if not self.platform.down:
            self._configure()

    @stateful.rule()
    def grant(self):
        self.granted.append(keys.grant(_Writer(self.platform), fleet.SECRET, "team"))

    @stateful.rule(host=hosts, number=st.integers(0, 9))
    def withdraw_at_a_node(self, host, number):
        if self.granted and not self.network.nodes[host].paused:
            key = self.granted[number % len(self.granted)]
            self.network.nodes[host].ring.withdraw(key.key_id)
            self.told.setdefault(key.key_id, set()).add(self.network.nodes[host].serial)

    @stateful.rule(parts=st.lists(st.integers(0, 1), min_size=HOSTS, max_size=HOSTS))
    def cut(self, parts):
        self.network.parts = {f"h{n}": part for n, part in enumerate(parts)}

    @stateful.rule()
    def heal(self):
        self.network.parts = {}

    @stateful.rule(loss=st.sampled_from([0.0, 0.3, 0.7]))
    def lose(self, loss):
        self.network.loss = loss

    @stateful.rule(down=st.booleans(), stale=st.booleans(), blocked=st.sets(hosts))
    def disturb_platform(self, down, stale, blocked):
        self.platform.down = down
        self.platform.stale_at = self.platform.version if stale else None
        self.network.platform_blocked = blocked

    @stateful.rule(number=st.integers(0, HOSTS - 1), clock_behind=st.booleans())
    def restart(self, number, clock_behind):
        self.incarnation += 1
        self.network.boot(number, 0 if clock_behind else self.incarnation)

    @stateful.rule(host=hosts)
    def pause(self, host):
        self.network.nodes[host].paused = not self.network.nodes[host].paused

    @stateful.rule(host=hosts, state=st.sampled_from([record.State.READY, record.State.DRAINING]))
    def announce(self, host, state):
        self.network.announce(host, state)

    @stateful.invariant()
    def nothing_reverts(self):
        self._step()

    @stateful.invariant()
    def a_refused_key_stays_refused(self):
        for node in self.network.nodes.values():
            for key in self.granted:
                told = node.serial in self.told.get(key.key_id, ())
                if self._accepted(node, key):
                    assert not told
                    assert (node.serial, key.key_id) not in self.refused
                elif key.key_id in node.ring.pending:
                    self.refused.add((node.serial, key.key_id))

    def teardown(self):
        self._calm_down()
        nodes = self.network.nodes
        latest = self.platform.items["configuration", "current"]
        live = set(nodes)
        ready = {h for h, n in nodes.items() if n.members.own.state is record.State.READY}
        for node in nodes.values():
            assert node.store.current.version == latest.version
            assert {item.host for item in node.members.members()} == live
            assert {item.host for item in node.members.candidates("booking")} == ready
            assert not any(self._accepted(node, key) for key in self._known_withdrawn())

    def _known_withdrawn(self):
        """Keys of whose withdrawal an operator told a process that still runs."""
        running = {node.serial for node in self.network.nodes.values()}
        return [key for key in self.granted if self.told.get(key.key_id, set()) & running]

    def _configure(self):
        version = self.platform.version.revision + 1
        value = {"text": TEXT.format(version), "change_id": str(version)}
        self.platform.write(configuration.KIND, configuration.NAME, value)

    def _calm_down(self):
        network_ = self.network
        network_.parts, network_.loss, network_.platform_blocked = {}, 0.0, set()
        self.platform.down, self.platform.stale_at = False, None
        for node in network_.nodes.values():
            node.paused = False
        for _ in range(SETTLE_S):
            self._step()

    def _step(self):
        self.network.step()
        self._check_configuration()
        for node in self.network.nodes.values():
            for item in node.members.members():
                earlier = self.orders.get((node.serial, item.host), (0, 0))
                assert item.order >= earlier
                self.orders[node.serial, item.host] = item.order

    def _check_configuration(self):
        for node in self.network.nodes.values():
            assert node.in_force == sorted(set(node.in_force))
            current = node.store.current
            assert current is None or list(current.text.teams) == [f"t{current.version}"]

    def _accepted(self, node, key):
        try:
            node.ring.check(f"Bearer {key.secret_text}", self.network.now)
        except errors.CallError:
            return False
        return True


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=12,
    stateful_step_count=25,
    derandomize=True,
    phases=(hypothesis.Phase.generate,),
    deadline=None,
    database=None,
    print_blob=False,
)


def _live_hosts(nodes):
    return [{item.host for item in node.members.members()} for node in nodes.values()]


def test_two_regions_merge_again_after_a_partition():
    net = network.Network(12, seed=1)
    net.step(20)
    assert _live_hosts(net.nodes) == [set(net.nodes)] * 12
    net.parts = {f"h{n}": n % 4 // 2 for n in range(12)}
    net.step(60)
    for host, live_hosts in zip(net.nodes, _live_hosts(net.nodes), strict=True):
        assert live_hosts == {peer for peer in net.nodes if net.parts[peer] == net.parts[host]}
    net.parts = {}
    net.step(10)
    assert _live_hosts(net.nodes) == [set(net.nodes)] * 12


def test_a_paused_host_is_lost_and_rejoins_when_it_resumes():
    net = network.Network(6, seed=2)
    net.step(10)
    net.nodes["h1"].paused = True
    net.step(30)
    assert all("h1" not in live_hosts for live_hosts in _live_hosts(net.nodes)[2:])
    net.nodes["h1"].paused = False
    net.step(40)
    assert _live_hosts(net.nodes) == [set(net.nodes)] * 6


def test_a_host_that_boots_in_a_platform_outage_gets_all_state_from_peers():
    net = network.Network(6, seed=4)
    key = keys.grant(_Writer(net.platform), fleet.SECRET, "team")
    net.platform.write(configuration.KIND, configuration.NAME, {"text": TEXT.format(2)})
    net.step(10)
    net.platform.down = True
    net.nodes["h3"].ring.withdraw(key.key_id)
    net.step(5)
    net.boot(5, 2)
    net.step(5)
    assert net.nodes["h5"].store.current.version == positions.at(2)
    assert net.nodes["h5"].ring.pending == {key.key_id}
    assert net.nodes["h5"].ring.version == positions.version(1)


def test_a_draining_upstream_gets_no_new_calls_when_its_update_is_lost():
    net = network.Network(6, seed=5)
    net.step(10)
    net.parts = {"h2": 1}
    net.announce("h2", record.State.DRAINING)
    net.step(2)
    assert all(item.host != "h2" for item in net.nodes["h2"].members.candidates("booking"))
    net.step(30)
    for node in net.nodes.values():
        assert all(item.host != "h2" for item in node.members.candidates("booking"))
