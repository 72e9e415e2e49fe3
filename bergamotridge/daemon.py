"""The process of a node: signals, logs and the run from start to stop."""

import gc
import queue
import signal
import sys
import time
from collections.abc import Callable

import attrs
import logbook

from bergamotridge import application, environment, errors, logs, settings

SWITCH_INTERVAL_S = 0.0005
GC_ALLOCATIONS = 20_000

_log = logbook.Logger(__name__)


def changed_keys(before: object, after: object, prefix: str = "") -> list[str]:
    """Returns the dotted names of the settings in which two versions differ."""
    found = []
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if attrs.has(field.type):
            found += changed_keys(old, new, f"{prefix}{field.name}.")
        elif old != new:
            found.append(prefix + field.name)
    return found


def reread(node: settings.NodeSettings, read: Callable[[], settings.NodeSettings]) -> None:
    """Logs what changed in the settings file; a node takes over its settings at its start only."""
    try:
        changed = changed_keys(node, read())
    except errors.SettingsError as error:
        _log.error("settings not reloaded, those in force stay: {}", error)
        return
    if changed:
        _log.warning("settings changed, restart the node to put them in force: {}", changed)
    else:
        _log.info("settings reloaded, nothing changed")


def run(
    node: settings.NodeSettings,
    surroundings: environment.Environment | None = None,
    read: Callable[[], settings.NodeSettings] | None = None,
) -> int:
    """Runs a node until SIGTERM or SIGINT and returns the exit code of the process.

    Args:
        node: Checked settings.
        surroundings: What differs from the product's own surroundings.
        read: Reads the settings again at SIGHUP, None if there is no file to read.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    incarnation = time.time_ns() // 1_000_000
    logs.setup(node, incarnation)
    received: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda number, _: received.put(number))
    running = application.Application(node, incarnation, surroundings)
    running.events.listen(logs.EventWriter())
    running.start()
    # What stands after the start stays, so the collector need not look at it again and again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    _log.info("node of host '{}' is up", node.host)
    while received.get() == signal.SIGHUP:
        if read is not None:
            reread(node, read)
    running.stop()
    _log.info("node of host '{}' has stopped", node.host)
    return 0
