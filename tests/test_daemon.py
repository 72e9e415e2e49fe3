"""Log lines that a node writes when it reads its settings file again."""

import attrs
import logbook

from bergamotridge import daemon, errors, settings

NODE = settings.NodeSettings(host="h1", failure_domain="a", fleet_secret="s")


def logged_lines(read):
    with logbook.TestHandler() as handler:
        daemon.log_changed_settings(NODE, read)
    return handler.formatted_records


def test_changed_settings_are_logged_with_dotted_keys():
    limits = attrs.evolve(NODE.limits, queue=3)
    changed = attrs.evolve(NODE, host="h2", limits=limits)
    assert daemon.changed_keys(NODE, changed) == ["host", "limits.queue"]
    (line,) = logged_lines(lambda: changed)
    assert "limits.queue" in line


def test_an_invalid_file_is_logged_and_not_applied():
    def read():
        raise errors.SettingsError("key 'host' is missing")

    (line,) = logged_lines(read)
    assert "not reloaded" in line and "host" in line


def test_an_unchanged_file_is_logged():
    (line,) = logged_lines(lambda: NODE)
    assert "nothing changed" in line
