"""Runs a node as a process: signals, logging, garbage collection, start and stop."""

import contextlib
import gc
import os
import queue
import signal
import sys
import threading
import time
from collections.abc import Callable
from typing import NoReturn

import attrs
import logbook

from bergamotridge import (
    application,
    environment,
    errors,
    logs,
    port_wait,
    ports,
    process_signals,
    settings,
)

SWITCH_INTERVAL_S = 0.0005
GC_THRESHOLD_ALLOCATIONS = 20_000
EXIT_FAULT = 1
MAX_FLUSH_S = 0.25  # For what the process has printed besides its log.

_log = logbook.Logger(__name__)


def changed_keys(before: object, after: object, prefix: str = "") -> list[str]:
    """Returns the dotted keys of the settings that differ between two instances of a class.

    Args:
        before: Settings, an instance of an `attrs` class.
        after: Other settings, of the same class.
        prefix: Put before each key.
    """
    found = []
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if attrs.has(field.type):
            found += changed_keys(old, new, f"{prefix}{field.name}.")
        elif old != new:
            found.append(prefix + field.name)
    return found


def log_changed_settings(
    node: settings.NodeSettings, read: Callable[[], settings.NodeSettings]
) -> None:
    """Logs which settings changed in the settings file; a node applies settings only at its start.

    Args:
        node: Settings with which the node was started.
        read: Reads the settings file again.
    """
    try:
        changed = changed_keys(node, read())
    except errors.SettingsError as error:
        _log.error("settings not reloaded, the node keeps the settings it started with: {}", error)
        return
    except Exception:
        # The process must not end by what the file holds.
        _log.exception("settings not reloaded, the node keeps the settings it started with")
        return
    if changed:
        _log.warning("settings changed, restart the node to apply them: {}", changed)
    else:
        _log.info("settings reloaded, nothing changed")


class _Reloads:
    """Reads the settings file again in a thread of its own.

    A file system that doesn't answer may hold up that thread for good, but not a stop.
    """

    def __init__(
        self, node: settings.NodeSettings, read: Callable[[], settings.NodeSettings] | None
    ) -> None:
        """Starts the thread; if `read` is None, nothing is read."""
        self._requests: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._node, self._read = node, read
        threading.Thread(target=self._run, name="reloads", daemon=True).start()

    def request(self) -> None:
        """Has the file read once more, after those reads that were requested before."""
        self._requests.put(None)

    def _run(self) -> None:
        while True:
            self._requests.get()
            if self._read is not None:
                log_changed_settings(self._node, self._read)


def run(
    node: settings.NodeSettings,
    signals: process_signals.ReceivedSignals,
    node_environment: environment.Environment | None = None,
    read: Callable[[], settings.NodeSettings] | None = None,
) -> int:
    """Runs a node until SIGTERM or SIGINT and returns the exit code of the process.

    The code is `EXIT_FAULT` after an error that nobody expects; the log has its traceback.

    Args:
        node: Checked settings.
        signals: Signals that came since the start of the process, and those to come.
        node_environment: Parts that a platform adapter replaces; `Environment()` if None.
        read: Reads the settings file again on SIGHUP; if None, SIGHUP is ignored.

    Raises:
        AddressUnavailableError: A port of the node can't be bound, after a wait if another process
            has it.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    incarnation = time.time_ns() // 1_000_000
    log_output = logs.setup(node, incarnation)
    exit_code = 0
    try:
        _run_logged(node, incarnation, signals, node_environment, read)
    except errors.BergamotridgeError:
        raise
    except Exception:
        # Raised further, it would leave the process to threads that don't end.
        _log.exception("the node failed, the process ends")
        exit_code = EXIT_FAULT
    _end_log_output(log_output)
    return exit_code


def _run_logged(
    node: settings.NodeSettings,
    incarnation: int,
    signals: process_signals.ReceivedSignals,
    node_environment: environment.Environment | None,
    read: Callable[[], settings.NodeSettings] | None,
) -> None:
    """Runs a node whose log output is set up."""
    wait = port_wait.PortWait(node.limits.drain_s)
    reloads = _Reloads(node, read)
    bound = _bind_ports(node, wait, signals, reloads)
    if bound is not None:
        # Created once the ports are bound: a process that waits for them has no task that could act
        # for this host.
        alone_since_ms = time.time_ns() // 1_000_000 if wait.has_waited else signals.began_ms
        node_application = application.Application(
            node, incarnation, node_environment, alone_since_ms
        )
        node_application.events.add_listener(logs.EventWriter())
        with contextlib.closing(bound):
            if signals.stop_requested_at is None:
                _serve(node, node_application, bound, signals, reloads)
    _log.info("node on host '{}' stopped", node.host)


def _end_log_output(log_output: logbook.StreamHandler) -> None:
    """Ends the log; its last line tells how long that took, as the process may end much later."""
    began_at = time.monotonic()
    log_output.stream.stop()
    text = f"log output ended in {time.monotonic() - began_at:.3f} s, the process ends now"
    last = logbook.LogRecord(__name__, logbook.INFO, text)
    last.heavy_init()
    log_output.stream.write_last(log_output.format(last) + "\n")


def end_process(exit_code: int) -> NoReturn:
    """Ends this process at once.

    The interpreter would wait for all threads first, and some may wait for an answer of the
    platform or of another node, longer than the time after which the process is killed. Nor does it
    wait for long if nobody reads its output.
    """
    try:
        flushing = threading.Thread(target=_flush_output, daemon=True)
        flushing.start()
        flushing.join(MAX_FLUSH_S)
    finally:
        os._exit(exit_code)


def _flush_output() -> None:
    sys.stdout.flush()
    sys.stderr.flush()


def _bind_ports(
    node: settings.NodeSettings,
    wait: port_wait.PortWait,
    signals: process_signals.ReceivedSignals,
    reloads: _Reloads,
) -> ports.BoundPorts | None:
    """Returns the ports of the node, which the process before it may free as late as its stop ends.

    Returns None if a signal asks to stop before that.
    """
    while signals.stop_requested_at is None:
        try:
            bound = ports.bind(node.addresses)
        except errors.AddressInUseError as error:
            wait.record_failure(error, time.monotonic())
        else:
            wait.record_success(time.monotonic())
            return bound
        if signals.wait(port_wait.RETRY_INTERVAL_S) == signal.SIGHUP:
            reloads.request()
    return None


def _serve(
    node: settings.NodeSettings,
    node_application: application.Application,
    bound: ports.BoundPorts,
    signals: process_signals.ReceivedSignals,
    reloads: _Reloads,
) -> None:
    """Starts the node, and stops it when a signal asks for it."""
    node_application.start(bound)
    # Objects that exist after the start live as long as the process; freezing them keeps the
    # garbage collector from traversing them in each collection.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    _log.info("node on host '{}' started", node.host)
    while signals.wait() == signal.SIGHUP:
        reloads.request()
    node_application.stop(signals.stop_requested_at)
