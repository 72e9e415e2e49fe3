"""`bergamotridge keys grant`: creates a key for a team."""

from absl import flags

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.commands import objects, secret
from bergamotridge.store import client
from bergamotridge.util import suggestion


def define_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    objects.define_flags(values)
    secret.define_flag(values)
    flags.DEFINE_string("team", None, "team of the key", flag_values=values, required=True)


def run(values: flags.FlagValues, arguments: list[str]) -> int:
    """Creates the key and prints its id and the key itself, which cannot be shown again."""
    del arguments
    fleet_secret = secret.read(values)
    platform = objects.connect(values)
    _check_team(platform, values.team)
    granted = keys.grant(platform, fleet_secret, values.team)
    print(f"key_id: {granted.key_id}")
    print(f"key: {granted.secret_text}")
    return 0


def _check_team(platform: client.ObjectClient, team: str) -> None:
    current = objects.read_configuration(platform)
    teams = sorted(current.text.teams) if current is not None else []
    if team not in teams:
        accepted = ", ".join(teams) or "none, since no operator's text is in force"
        raise errors.SettingsError(
            f"unknown team '{team}'; accepted: {accepted}{suggestion.hint(team, teams)}"
        )
