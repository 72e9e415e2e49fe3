"""An accepted configuration is in force everywhere and never reverts."""

import concurrent.futures
import subprocess
import time

import pytest

from standins import client, processes
from tests import fleet

STALE_MS = 1000


def versions(rig):
    return [member.status().get("configuration_version") for member in rig.fleet.members.values()]


def stored_version(rig):
    address = rig.fleet.platform_address
    reply = client.ask(address, "GET", "/objects/configuration/current")
    return fleet.json.loads(reply.body)["version"]


def apply(rig, name, read_version):
    source = rig.directory / f"{name}.toml"
    source.write_text(f"{fleet.TEXT}\n# {name}\n", encoding="utf-8")
    platform = f"--platform={rig.fleet.platform_address}"
    words = ("apply", platform, f"--file={source}", f"--read_version={read_version}")
    return rig.fleet.command(*words)


def test_of_two_racing_operators_one_wins_everywhere(rig):
    before = stored_version(rig)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        racing = [pool.submit(apply, rig, name, before) for name in ("ada", "bo", "cy")]
    lost = [one.exception() for one in racing if one.exception()]
    assert len(lost) == 2
    assert all("Traceback" not in error.stderr for error in lost)
    processes.wait_until(lambda: set(versions(rig)) == {stored_version(rig)}, "in force")


def test_lost_answer_is_learned(rig):
    before = stored_version(rig)
    rig.fleet.platform_faults(lose_answers=1)
    apply(rig, "lost", before)
    assert stored_version(rig) > before
    processes.wait_until(lambda: set(versions(rig)) == {stored_version(rig)}, "in force")


def test_stale_reads_revert_nothing(rig):
    old = stored_version(rig)
    apply(rig, "newer", old)
    new = stored_version(rig)
    processes.wait_until(lambda: set(versions(rig)) == {new}, "in force")
    # The old answers come after the new node has heard the new version from its peers.
    rig.fleet.platform_faults(stale_version=old, delay_ms=STALE_MS)
    node = rig.fleet.members["back-2"].node
    node.kill()
    node.start()
    processes.wait_until(lambda: versions(rig) == [new] * 4, "new node learns it from its peers")
    seen = set()
    end = time.monotonic() + 3 * STALE_MS / 1000
    while time.monotonic() < end:
        seen |= set(versions(rig))
        time.sleep(0.05)
    assert seen == {new}
    rig.until_served("back-2")


def test_outage_stops_no_call_and_a_new_node_boots_in_it(rig):
    rig.fleet.platform_faults(outage=True)
    with pytest.raises(subprocess.CalledProcessError) as refused:
        apply(rig, "outage", 1)
    assert "Traceback" not in refused.value.stderr
    node = rig.fleet.members["front-2"].node
    node.kill()
    node.start()
    rig.fleet.wait_ready()
    for host in rig.fleet.members:
        rig.until_served(host)
