"""Runs a node of the current directory with a time of day that the soak can step.

The environment variable names a file of eight bytes: what is added to the time of day, in
nanoseconds. A process without privileges can't step the clock that the kernel gives it.
"""

import mmap
import os
import pathlib
import runpy
import signal
import struct
import sys
import time

VARIABLE = "SOAK_CLOCK"
NS_PER_S = 1e9
_OFFSET = struct.Struct("=q")


def step(path: pathlib.Path, offset_ns: int) -> None:
    """Sets what is added to the time of day, for all processes that use the file."""
    with path.open("r+b" if path.exists() else "w+b", buffering=0) as file:
        file.write(_OFFSET.pack(offset_ns))


def install(path: pathlib.Path) -> None:
    """Lets `time.time` and `time.time_ns` of this process follow the file."""
    with path.open("rb") as file:
        page = mmap.mmap(file.fileno(), _OFFSET.size, access=mmap.ACCESS_READ)
    real_ns = time.time_ns

    def time_ns() -> int:
        return real_ns() + _OFFSET.unpack_from(page)[0]

    time.time_ns = time_ns
    time.time = lambda: time_ns() / NS_PER_S


def main() -> None:
    """Runs the node, as if it had been started by itself."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # Until the node minds it.
    install(pathlib.Path(os.environ[VARIABLE]))
    script = pathlib.Path.cwd() / "platform/node.py"
    sys.path[0] = str(script.parent)
    sys.path.append(str(script.parent.parent))
    sys.argv = [str(script)]
    runpy.run_path(str(script), run_name="__main__")


if __name__ == "__main__":
    main()
