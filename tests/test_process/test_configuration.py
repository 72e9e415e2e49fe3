"""An accepted configuration comes into force on all nodes and is never reverted."""

import concurrent.futures
import subprocess
import time

import pytest

from standins import client, processes
from tests import fleet

STALE_READ_DELAY_MS = 1000


def versions_in_force(rig):
    return [member.status().get("configuration_version") for member in rig.fleet.members.values()]


def stored_version(rig):
    address = rig.fleet.platform_address
    reply = client.send_request(address, "GET", "/objects/configuration/current")
    return fleet.json.loads(reply.body)["version"]


def apply_configuration(rig, name, read_version):
    path = rig.directory / f"{name}.toml"
    path.write_text(f"{fleet.TEXT}\n# {name}\n", encoding="utf-8")
    platform = f"--platform={rig.fleet.platform_address}"
    arguments = ("apply", platform, f"--file={path}", f"--read_version={read_version}")
    return rig.fleet.run_command(*arguments)


def test_one_of_three_concurrent_applies_wins_on_all_nodes(rig):
    version_before = stored_version(rig)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        racing = [
            pool.submit(apply_configuration, rig, name, version_before)
            for name in ("ada", "bo", "cy")
        ]
    errors = [future.exception() for future in racing if future.exception()]
    assert len(errors) == 2
    assert all("Traceback" not in error.stderr for error in errors)
    processes.wait_until(
        lambda: set(versions_in_force(rig)) == {stored_version(rig)},
        "the stored version is in force on all nodes",
    )


def test_apply_succeeds_although_the_response_is_lost(rig):
    version_before = stored_version(rig)
    rig.fleet.inject_platform_faults(lose_answers=1)
    apply_configuration(rig, "lost", version_before)
    assert stored_version(rig) > version_before
    processes.wait_until(
        lambda: set(versions_in_force(rig)) == {stored_version(rig)},
        "the stored version is in force on all nodes",
    )


def test_stale_reads_do_not_revert_the_configuration(rig):
    old_version = stored_version(rig)
    apply_configuration(rig, "newer", old_version)
    new_version = stored_version(rig)
    processes.wait_until(
        lambda: set(versions_in_force(rig)) == {new_version},
        "the stored version is in force on all nodes",
    )
    # The delay lets the stale reads arrive after the restarted node got the new version from peers.
    rig.fleet.inject_platform_faults(stale_version=old_version, delay_ms=STALE_READ_DELAY_MS)
    node = rig.fleet.members["back-2"].node
    node.kill()
    node.start()
    processes.wait_until(
        lambda: versions_in_force(rig) == [new_version] * 4,
        "the restarted node gets the new version from its peers",
    )
    seen = set()
    deadline = time.monotonic() + 3 * STALE_READ_DELAY_MS / 1000
    while time.monotonic() < deadline:
        seen |= set(versions_in_force(rig))
        time.sleep(0.05)
    assert seen == {new_version}
    rig.call_until_served("back-2")


def test_calls_and_node_start_work_during_a_platform_outage(rig):
    rig.fleet.inject_platform_faults(outage=True)
    with pytest.raises(subprocess.CalledProcessError) as error_info:
        apply_configuration(rig, "outage", 1)
    assert "Traceback" not in error_info.value.stderr
    node = rig.fleet.members["front-2"].node
    node.kill()
    node.start()
    rig.fleet.wait_ready()
    for host in rig.fleet.members:
        rig.call_until_served(host)
