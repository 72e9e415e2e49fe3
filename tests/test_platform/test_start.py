"""The program as the deploy file starts it: the standard library's `platform` stays in sight."""

import os
import subprocess
import sys
import sysconfig
import tomllib

from tests import source

NAMES_OF_THE_PLATFORM = (
    "Expect-Instance",
    "Not-Executed",
    "Response-Seal",
    "Deadline-Ms",
    "Caller-Service",
    "heartbeat_addr",
    "cold_remaining",
    "weighted_clusters",
    "api_keys",
    "deletion_pending",
    "BERGAMOTRIDGE_CONFIG",
)


def test_the_deploy_file_starts_the_adapter_without_hiding_the_standard_module():
    deploy = tomllib.loads((source.ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    _, *options, script = deploy["roles"]["node"]["run"].split()
    code = (
        "import runpy, sys; sys.argv = [sys.argv[1]]; sys.path.insert(0, 'platform');"
        "runpy.run_path(sys.argv[0], run_name='started');"
        "import platform; print(platform.python_implementation())"
    )
    done = subprocess.run(
        [sys.executable, *options, "-c", code, script],
        cwd=source.ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        # Where the platform installs the libraries, it puts their folder on the path.
        env={**os.environ, "PYTHONPATH": sysconfig.get_path("purelib")},
    )
    assert (done.returncode, done.stdout.strip()) == (0, "CPython"), done.stderr


def test_nothing_outside_the_adapter_spells_a_name_of_the_platform():
    found = [
        (path.name, name)
        for path in source.PACKAGE.rglob("*.py")
        for name in NAMES_OF_THE_PLATFORM
        if name.lower() in path.read_text(encoding="utf-8").lower()
    ]
    assert found == []
