"""`bergamotridge keys withdraw`: permanently withdraws a key, also while the platform is down."""

import sys
from collections.abc import Sequence

from absl import flags

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.commands import nodes, objects, registry, secret
from bergamotridge.nodes import confirmation


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    objects.define_flags(values, required=False)
    nodes.define_flags(values, required=False)
    secret.define_flag(values, required=False)
    flags.DEFINE_string("key_id", None, "id of the key", flag_values=values, required=True)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Sends the withdrawal to all given nodes and the platform.

    All of them are tried; the command succeeds if another process than the node that was asked, or
    the platform, has confirmed that it has the withdrawal.

    Returns:
        `EXIT_KNOWN_TO_ONE_PROCESS` if only the process of one node has it.

    Raises:
        NotFoundError: The platform never granted such a key.
        BergamotridgeError: No node and no platform confirmed the withdrawal.
    """
    del arguments
    if not values.platform and not values.nodes:
        raise errors.UsageError("keys withdraw: give --platform, --nodes or both")
    failures: list[errors.BergamotridgeError] = []
    confirmed = _withdraw_on_nodes(values, failures)
    is_stored = _withdraw_on_platform(values, failures)
    for failure in failures:
        _warn(str(failure))
    if not confirmed and not is_stored:
        raise errors.PlatformUnavailableError(
            f"nobody confirmed that key '{values.key_id}' is withdrawn; try other --nodes"
        )
    return _report(values.key_id, _combine(confirmed, is_stored))


def _report(key_id: str, known: confirmation.Knowledge) -> int:
    print(
        f"key '{key_id}' is withdrawn; told {len(known.known_by)} nodes in "
        f"{len(known.failure_domains)} failure domains; stored by the platform: "
        f"{'yes' if known.stored else 'no'}"
    )
    if known.cause and not known.stored:
        _warn(f"not known to be stored by the platform: {known.cause}")
    if known.outlives_a_process:
        return registry.EXIT_OK
    _warn(
        f"warning: only the node of host '{known.known_by[0].host}' knows that key '{key_id}' is "
        f"withdrawn; others are told once they can be reached, but if that node ends before, the "
        f"key is valid again: repeat the command"
    )
    return registry.EXIT_KNOWN_TO_ONE_PROCESS


def _combine(
    confirmed: Sequence[confirmation.Knowledge], is_stored: bool
) -> confirmation.Knowledge:
    places = dict.fromkeys(place for known in confirmed for place in known.known_by)
    causes = [known.cause for known in confirmed if not known.stored]
    return confirmation.Knowledge(
        tuple(places),
        is_stored or any(known.stored for known in confirmed),
        causes[0] if causes else "",
    )


def _withdraw_on_platform(
    values: flags.FlagValues, failures: list[errors.BergamotridgeError]
) -> bool:
    """Returns True if the platform has stored the withdrawal; adds why not to the failures."""
    if not values.platform:
        return False
    try:
        keys.withdraw(objects.connect(values), values.key_id)
    except errors.PlatformUnavailableError as error:
        failures.append(error)
        return False
    return True


def _withdraw_on_nodes(
    values: flags.FlagValues, failures: list[errors.BergamotridgeError]
) -> list[confirmation.Knowledge]:
    """Returns what the nodes confirm; adds to the failures what kept others from confirming."""
    if not values.nodes:
        return []
    fleet_secret = secret.read(values)
    connect = nodes.build_client_factory(values)
    confirmed = []
    for address in values.nodes:
        try:
            confirmed.append(connect(address).withdraw(values.key_id, fleet_secret))
        except errors.OperatorPortError as error:
            failures.append(error)
    return confirmed


def _warn(text: str) -> None:
    print(f"bergamotridge: {text}", file=sys.stderr)
