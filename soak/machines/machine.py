"""A machine with its node: the process is started with the deploy file's command."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import sysconfig
import threading
import tomllib

import attrs

from soak.machines import clocked_node, pauses, planted_node, record, server, shape, wire

OWN_TREE = pathlib.Path(__file__).resolve().parents[2]
OUTBOUND_PORT, READY_PORT = 8548, 8546
GRACE_S = 6.0
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
RESTART_S = 0.3


@attrs.define(eq=False)
class Process:
    """One process of a node.

    Attributes:
        told_at: When it got its first SIGTERM.
        gone_at: When it ended, seen by a thread, as the event loop may be late.
    """

    popen: asyncio.subprocess.Process
    started: float
    stopping: bool = False
    killed: bool = False
    told_at: float | None = None
    gone_at: float | None = None


def _find_libraries(tree: pathlib.Path) -> pathlib.Path:
    """Returns the folder of the libraries: of the deploy file's build, else of this interpreter."""
    built = tree / "target/deps"
    return built if built.is_dir() else pathlib.Path(sysconfig.get_path("purelib"))


class Machine:
    """One machine: its node's processes, its server, and their address.

    Attributes:
        planted: A fault of its nodes as `planted_node` reads it, empty for none.
        has_own_clock: True if its time of day can be stepped.
    """

    def __init__(
        self,
        rows: record.Record,
        number: int,
        network: str,
        folder: pathlib.Path,
        store: str,
        tree: pathlib.Path = OWN_TREE,
    ) -> None:
        """Prepares a machine; its nodes run in the work tree `tree`."""
        self.number, self.ip, self.zone = number, f"{network}.{number}", ZONES[number % len(ZONES)]
        self.outbound = f"{self.ip}:{OUTBOUND_PORT}"
        self.service = ""
        self.max_fds = shape.MAX_FDS
        self.planted = ""
        self.has_own_clock = False
        self.server: server.Server | None = None
        self.process: Process | None = None
        self.replaces = False  # True while a scenario sees to the next start.
        self.gone = False  # True once it was taken away for good.
        self._processes: list[Process] = []
        self._rows, self._folder, self._store, self._tree = rows, folder, store, tree
        self._settings = self._folder / f"node-{number}.conf"
        self._clock = self._folder / f"clock-{self.number}"
        self._watches: set[asyncio.Task] = set()

    def write_settings(self) -> None:
        """Writes the settings file."""
        template = pathlib.Path(__file__).with_name("node.conf").read_text(encoding="utf-8")
        self._settings.write_text(
            template.format(
                ip=self.ip,
                zone=self.zone,
                number=self.number,
                service=self.service,
                store=self._store,
                max_fds=self.max_fds,
            ),
            encoding="utf-8",
        )

    def step_clock(self, offset_ns: int) -> None:
        """Sets what the time of day of its nodes is ahead of the true one."""
        clocked_node.step(self._clock, offset_ns)

    async def start(self) -> Process:
        """Starts a process of the node, whether or not the one before it still runs."""
        deploy = tomllib.loads((self._tree / "deploy/system.toml").read_text(encoding="utf-8"))
        kept = {key: value for key, value in os.environ.items() if key in ("HOME", "LANG")}
        # The interpreter itself, not a script that looks for it and dies by an early signal.
        kept["PATH"] = f"{sys.base_prefix}/bin:{os.environ['PATH']}"
        own = {
            "PYTHONPATH": f"{_find_libraries(self._tree)}",
            "BERGAMOTRIDGE_CONFIG": f"{self._settings}",
        }
        command = deploy["roles"]["node"]["run"].split()
        if self.planted:
            command[-1] = planted_node.__file__
            own[planted_node.VARIABLE] = self.planted
        elif self.has_own_clock:
            command[-1] = clocked_node.__file__
            own[clocked_node.VARIABLE] = f"{self._clock}"
        with (self._folder / f"node-{self.number}.log").open("ab") as log:
            popen = await asyncio.create_subprocess_exec(
                *command,
                cwd=self._tree, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=kept | own,
            )  # fmt: skip
        return self.adopt(popen)

    def adopt(self, popen: asyncio.subprocess.Process) -> Process:
        """Takes a process that was just started as the machine's latest."""
        process = Process(popen, self._rows.happen("node starts", self.number, f"{popen.pid}"))
        self.process, self.replaces = process, False
        self._processes = [item for item in self._processes if item.gone_at is None] + [process]
        threading.Thread(target=self._see_end, args=(process,), daemon=True).start()
        watch = asyncio.create_task(self._watch(process))
        self._watches.add(watch)
        watch.add_done_callback(self._watches.discard)
        return process

    def _see_end(self, process: Process) -> None:
        with contextlib.suppress(ChildProcessError):  # The event loop has taken its status.
            os.waitid(os.P_PID, process.popen.pid, os.WEXITED | os.WNOWAIT)
        process.gone_at = self._rows.happen("process gone", self.number, f"{process.popen.pid}")

    def pause(self, chosen: pauses.Pauses, only: Process | None = None) -> pauses.Pauser:
        """Begins to freeze processes and to let them go on.

        Args:
            chosen: When they run and stand still.
            only: The process, all of this machine if None.
        """
        pauser = pauses.Pauser(self._rows, self.number, lambda: self._list_pids(only))
        pauser.start(chosen)
        return pauser

    def _list_pids(self, only: Process | None) -> list[int]:
        items = self._processes if only is None else [only]
        return [item.popen.pid for item in items if item.gone_at is None]

    async def _watch(self, process: Process) -> None:
        code = await process.popen.wait()
        cause = "killed" if process.killed else "stopped" if process.stopping else "by itself"
        self._rows.happen("node exits", self.number, f"{process.popen.pid} {code} {cause}")
        if cause == "by itself":
            await asyncio.sleep(RESTART_S)
            if self.process is process and not self.replaces:
                await self.start()

    def send(self, process: Process, number: signal.Signals) -> None:
        """Sends a signal to a process that runs."""
        if process.popen.returncode is not None:
            return
        process.stopping |= number == signal.SIGTERM
        if number == signal.SIGTERM and process.told_at is None:
            process.told_at = self._rows.now()
        process.killed |= number == signal.SIGKILL
        self._rows.happen(number.name, self.number, f"{process.popen.pid}")
        # Not by its own method, which would take the status from the one that waits.
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.popen.pid, number)

    async def end(self, process: Process) -> None:
        """Waits for a process that was told to stop; ends it after `grace` as the platform does."""
        now = self._rows.now()
        deadline = (now if process.told_at is None else process.told_at) + GRACE_S
        try:
            await asyncio.wait_for(process.popen.wait(), max(0.0, deadline - now))
        except TimeoutError:
            if process.gone_at is None or process.gone_at > deadline:
                self._rows.happen("grace is over", self.number, f"{process.popen.pid}")
                self.send(process, signal.SIGKILL)
            await process.popen.wait()

    async def is_ready(self) -> bool:
        """Returns True if the node answers its readiness check with 200."""
        return await wire.ask(f"{self.ip}:{READY_PORT}", "GET /ready HTTP/1.1", b"", 1.0) == 200
