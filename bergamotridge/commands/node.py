"""`bergamotridge node`: runs the node of this host."""

from absl import flags

from bergamotridge import process_signals, settings


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    flags.DEFINE_string(
        "settings", None, "settings file of this node (TOML)", flag_values=values, required=True
    )


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Runs the node until it receives a signal to stop, and ends the process."""
    del arguments
    signals = process_signals.ReceivedSignals()
    # Imported here so that --help does not import the servers.
    from bergamotridge import daemon

    def read() -> settings.NodeSettings:
        return settings.load(values.settings)

    daemon.end_process(daemon.run(read(), signals, read=read))
