"""What a node does when its settings file changes."""

import attrs
import logbook

from bergamotridge import daemon, errors, settings

NODE = settings.NodeSettings(host="h1", failure_domain="a", fleet_secret="s")


def told(read):
    with logbook.TestHandler() as handler:
        daemon.reread(NODE, read)
    return handler.formatted_records


def test_changed_settings_are_named_with_their_tables():
    limits = attrs.evolve(NODE.limits, queue=3)
    changed = attrs.evolve(NODE, host="h2", limits=limits)
    assert daemon.changed_keys(NODE, changed) == ["host", "limits.queue"]
    (line,) = told(lambda: changed)
    assert "limits.queue" in line


def test_a_file_that_cannot_be_read_leaves_the_settings_in_force():
    def read():
        raise errors.SettingsError("key 'host' is missing")

    (line,) = told(read)
    assert "not reloaded" in line and "host" in line


def test_an_unchanged_file_is_told():
    (line,) = told(lambda: NODE)
    assert "nothing changed" in line
