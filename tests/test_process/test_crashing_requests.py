"""A request that crashes the upstreams that run it."""

import threading
import time

import pytest

from standins import fleet as standin_fleet
from standins import upstream
from tests import fleet

DEADLY = "deadly"
DEADLY_PATH = f"/rows?{DEADLY}"
DEADLY_PAYMENT = f"/payments?{DEADLY}"
MAX_ENDS = 3  # Upstreams that may end under one request before the fleet holds it back.
DEADLY_CALLS = 30
CALL_INTERVAL_S = 0.1
RESTART_S = 0.5
SERVICE_MS = 20.0
HOSTS = tuple(
    standin_fleet.Host(
        f"back-{number}",
        domain,
        "back",
        slots=20,
        service_ms=SERVICE_MS,
        crash_on=DEADLY,
    )
    for number, domain in enumerate(("east", "east", "west", "west"), 1)
)
NAMES = tuple(host.name for host in HOSTS)


class Supervisor:
    """Starts each upstream that has crashed again, from `start` to `stop`, and counts them."""

    def __init__(self, members):
        self.crashed = 0
        self._members = list(members)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self):
        while not self._stopping.wait(RESTART_S):
            for member in self._members:
                if member.upstream.exit_code == upstream.CRASH_EXIT_CODE:
                    self.crashed += 1
                    member.upstream.start()


@pytest.fixture
def rig(tmp_path):
    with standin_fleet.Fleet(tmp_path, HOSTS, fleet.TEXT) as running:
        running.wait_ready()
        rig = fleet.Rig(running, tmp_path, {"large": running.grant("large")})
        for name in NAMES:
            rig.call_until_served(name, path="/rows")
        yield rig
        rig.stop()


@pytest.fixture
def supervisor(rig):
    supervisor = Supervisor(rig.members("back"))
    supervisor.start()
    yield supervisor
    supervisor.stop()


def send_deadly_calls(rig, method="GET", path=DEADLY_PATH):
    """Sends the deadly request to one host after another; returns the replies by tag."""
    replies = {}
    for number in range(DEADLY_CALLS):
        tag = rig.tag()
        host = NAMES[number % len(NAMES)]
        replies[tag] = rig.call(host, method, path, tag, body="the same in all calls")
        time.sleep(CALL_INTERVAL_S)
    return replies


def is_held_back(reply):
    reason = reply.headers.get("bergamotridge-reason")
    return (reply.status, reply.verdict, reason) == (503, "not-run", "crashes-upstreams")


# Nothing remembered what ran when an upstream ended, so all of them ended under it, over and over.
def test_a_request_that_ends_upstreams_is_held_back_after_three_have_ended(rig, supervisor):
    load = rig.start_load(rig.stream("large", "rows", 40, 6.0, NAMES))
    replies = send_deadly_calls(rig)
    supervisor.stop()
    assert supervisor.crashed <= MAX_ENDS
    assert is_held_back(list(replies.values())[-1])
    attempts = load.result()
    assert rig.find_violations(attempts) == []
    served = sum(attempt.status == 200 for attempt in attempts)
    assert served >= 0.9 * len(attempts)


# A retry of a payment that had crashed one upstream would have run, and crashed, a second one.
def test_a_payment_that_crashes_an_upstream_is_sent_once_and_held_back_after_three(rig, supervisor):
    replies = send_deadly_calls(rig, "POST", DEADLY_PAYMENT)
    supervisor.stop()
    assert supervisor.crashed <= MAX_ENDS
    for tag, reply in replies.items():
        runs = rig.runs(tag)
        assert len(runs) <= 1
        assert reply.verdict == ("may-have-run" if runs else "not-run")
    assert is_held_back(list(replies.values())[-1])


# The knowledge of a request that crashes upstreams died with the node beside them.
def test_restarted_nodes_learn_from_the_others_what_is_held_back(rig, supervisor):
    send_deadly_calls(rig)
    crashed = supervisor.crashed
    for name, member in rig.fleet.members.items():
        member.node.kill()
        member.node.start()
        rig.fleet.wait_ready()
        rig.call_until_served(name, path="/rows")
    replies = send_deadly_calls(rig)
    supervisor.stop()
    assert all(is_held_back(reply) for reply in replies.values())
    assert supervisor.crashed == crashed <= MAX_ENDS


# With all nodes of the service the crashes are forgotten: they cost three more upstreams at most.
def test_after_a_kill_of_all_nodes_a_request_is_held_back_after_three_more_crashes(rig, supervisor):
    send_deadly_calls(rig)
    assert supervisor.crashed <= MAX_ENDS
    nodes = [member.node for member in rig.fleet.members.values()]
    for node in nodes:
        node.kill()
    for node in nodes:
        node.start()
    rig.fleet.wait_ready()
    for name in NAMES:
        rig.call_until_served(name, path="/rows")
    crashed = supervisor.crashed
    replies = send_deadly_calls(rig)
    supervisor.stop()
    assert supervisor.crashed - crashed <= MAX_ENDS
    assert is_held_back(list(replies.values())[-1])


# A kind of request that runs everywhere was suspected since upstreams ended by themselves.
def test_upstreams_that_are_killed_one_after_another_hold_back_no_request(rig):
    load = rig.start_load(rig.stream("large", "rows", 40, 8.0, NAMES))
    for member in rig.members("back"):
        member.upstream.kill()
        time.sleep(RESTART_S)
        member.upstream.start()
        rig.fleet.wait_ready()
    attempts = load.result()
    assert rig.find_violations(attempts) == []
    assert is_served(rig, "/rows")
    served = sum(attempt.status == 200 for attempt in attempts)
    assert served >= 0.9 * len(attempts)


def is_served(rig, path):
    return all(rig.call(name, "GET", path, rig.tag()).status == 200 for name in NAMES)
