"""A request that crashes the upstreams that run it."""

import threading
import time

import pytest

from standins import fleet as standin_fleet
from standins import upstream
from tests import fleet

DEADLY_PATH = "/rows?deadly"
MAX_ENDS = 3  # Upstreams that may end under one request before the fleet holds it back.
DEADLY_CALLS = 40
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
        crash_on=DEADLY_PATH,
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


def send_deadly_calls(rig):
    """Sends the deadly request from one host after another; returns the replies."""
    replies = []
    for number in range(DEADLY_CALLS):
        replies.append(rig.call(NAMES[number % len(NAMES)], "GET", DEADLY_PATH, rig.tag()))
        time.sleep(CALL_INTERVAL_S)
    return replies


# Nothing remembered what ran when an upstream ended, so all of them ended under it, over and over.
def test_a_request_that_ends_upstreams_is_held_back_after_three_have_ended(rig, supervisor):
    load = rig.start_load(rig.stream("large", "rows", 40, 6.0, NAMES))
    replies = send_deadly_calls(rig)
    supervisor.stop()
    assert supervisor.crashed <= MAX_ENDS
    assert (replies[-1].status, replies[-1].verdict) == (503, "not-run")
    attempts = load.result()
    assert rig.find_violations(attempts) == []
    served = sum(attempt.status == 200 for attempt in attempts)
    assert served >= 0.9 * len(attempts)
