"""Flags and functions shared by the commands that use the platform's object store."""

from absl import flags

from bergamotridge import errors
from bergamotridge.store import client, configuration

DEFAULT_TIMEOUT_S = 3.0
_PLATFORM_HELP = "address of the platform's object API (IP:PORT)"


def define_flags(values: flags.FlagValues, *, required: bool = True) -> None:
    """Defines the flags for the connection to the platform."""
    flags.DEFINE_string(
        "platform", None if required else "", _PLATFORM_HELP, flag_values=values, required=required
    )
    flags.DEFINE_float(
        "platform_timeout_s",
        DEFAULT_TIMEOUT_S,
        "time limit of each request to the platform in seconds",
        lower_bound=0.01,
        flag_values=values,
    )


def connect(values: flags.FlagValues) -> client.ObjectClient:
    """Returns a client of the platform's object store."""
    return client.ObjectClient(values.platform, values.platform_timeout_s)


def read_configuration(platform: client.ObjectClient) -> configuration.Configuration | None:
    """Returns the configuration that the platform stores, None if there is none.

    Raises:
        PlatformError: The platform sent no usable answer.
        SettingsError: The stored text is not valid.
    """
    store = configuration.ConfigurationStore()
    try:
        stored = platform.get(configuration.KIND, configuration.NAME)
    except errors.NotFoundError:
        return None
    store.apply_listing(client.Listing((stored,), stored.version))
    if store.rejection_reason:
        raise errors.SettingsError(store.rejection_reason)
    return store.current
