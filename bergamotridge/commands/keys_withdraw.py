"""`bergamotridge keys withdraw`: permanently withdraws a key, also while the platform is down."""

import sys

from absl import flags

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.commands import nodes, objects, secret


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    objects.define_flags(values, required=False)
    nodes.define_flags(values, required=False)
    secret.define_flag(values, required=False)
    flags.DEFINE_string("key_id", None, "id of the key", flag_values=values, required=True)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Sends the withdrawal to all given nodes and the platform.

    All of them are tried; the command succeeds if at least one confirms the withdrawal.

    Raises:
        NotFoundError: The platform never granted such a key.
        BergamotridgeError: No node and no platform confirmed the withdrawal.
    """
    del arguments
    if not values.platform and not values.nodes:
        raise errors.UsageError("keys withdraw: give --platform, --nodes or both")
    failures = [*_withdraw_on_nodes(values), *_withdraw_on_platform(values)]
    recipients = len(values.nodes or ()) + bool(values.platform)
    for failure in failures:
        print(f"bergamotridge: {failure}", file=sys.stderr)
    if len(failures) == recipients:
        raise errors.PlatformUnavailableError(
            f"nobody confirmed that key '{values.key_id}' is withdrawn; try other --nodes"
        )
    print(f"key '{values.key_id}' is withdrawn; told {recipients - len(failures)} of {recipients}")
    return 0


def _withdraw_on_platform(values: flags.FlagValues) -> list[errors.BergamotridgeError]:
    if not values.platform:
        return []
    try:
        keys.withdraw(objects.connect(values), values.key_id)
    except errors.PlatformUnavailableError as error:
        return [error]
    return []


def _withdraw_on_nodes(values: flags.FlagValues) -> list[errors.BergamotridgeError]:
    if not values.nodes:
        return []
    fleet_secret = secret.read(values)
    connect = nodes.build_client_factory(values)
    failures = []
    for address in values.nodes:
        try:
            connect(address).withdraw(values.key_id, fleet_secret)
        except errors.OperatorPortError as error:
            failures.append(error)
    return failures
