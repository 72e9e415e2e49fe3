"""Change of the configuration by an operator: a conditional update whose outcome is learned.

The object names the change that wrote it and the latest changes before it. So an operator whose
answer was lost learns whether the change took effect even when others have changed the
configuration since.
"""

import uuid

import attrs

from bergamotridge import errors
from bergamotridge.operators import text
from bergamotridge.store import client, configuration

ATTEMPTS = 4
EARLIER_KEY = "earlier_change_ids"
EARLIER_CHANGES = 50


@attrs.frozen
class Applied:
    """A change that took effect in the platform.

    Attributes:
        version: Version that the change made, or a later one if others have followed.
        change_id: Id of the change.
        replaced: True if a later change has replaced it already.
    """

    version: int
    change_id: str
    replaced: bool = False


def apply(platform: client.ObjectClient, source: str, read_version: int) -> Applied:
    """Writes the operator's text if the version that the operator read is still the current one.

    Args:
        platform: Client of the platform.
        source: The operator's text.
        read_version: Version that the operator started from, 0 if there was none.

    Returns:
        The version of the text and the id of this change.

    Raises:
        SettingsError: The text is wrong; nothing was written.
        ConflictError: Another change came first and this one did not take effect; names the other.
        PlatformUnavailableError: The outcome could not be learned; names the id to look for.
    """
    text.parse(source, "text")
    before = _read(platform)
    if before.version > read_version:
        raise _conflict(before, before.version)
    if before.version < read_version:
        raise errors.PlatformUnavailableError("the platform answers from an old copy; try again")
    change_id = uuid.uuid4().hex
    value = {
        configuration.TEXT_KEY: source,
        configuration.CHANGE_KEY: change_id,
        EARLIER_KEY: _change_ids(before)[:EARLIER_CHANGES],
    }
    return _write(platform, value, read_version)


def _write(platform: client.ObjectClient, value: dict, read_version: int) -> Applied:
    """Repeats the conditional update until its outcome is known.

    All attempts name the same version, so at most one of them takes effect.
    """
    change_id = value[configuration.CHANGE_KEY]
    lost: errors.PlatformError | None = None
    for _ in range(ATTEMPTS):
        try:
            version = platform.put(configuration.KIND, configuration.NAME, value, read_version)
            return Applied(version, change_id)
        except errors.ConflictError as error:
            if lost is None:
                raise _conflict(_read(platform), error.version) from error
        except errors.PlatformUnavailableError as error:
            lost = error
        try:
            return _outcome(_read(platform), change_id, read_version)
        except errors.PlatformUnavailableError as error:
            lost = error
    raise errors.PlatformUnavailableError(
        f"the platform did not answer; change {change_id} on version {read_version} may have "
        "taken effect or still may: read the configuration again"
    ) from lost


def _outcome(stored: client.StoredObject, change_id: str, read_version: int) -> Applied:
    """Returns how a change ended, from the object read after it; raises if it is not known yet."""
    change_ids = _change_ids(stored)
    if change_id in change_ids:
        return Applied(stored.version, change_id, replaced=change_ids[0] != change_id)
    if stored.version <= read_version:
        raise errors.PlatformUnavailableError("the change is not there yet")
    raise _conflict(stored, stored.version)


def _read(platform: client.ObjectClient) -> client.StoredObject:
    try:
        return platform.get(configuration.KIND, configuration.NAME)
    except errors.NotFoundError:
        return client.StoredObject(configuration.KIND, configuration.NAME, 0, None)


def _conflict(stored: client.StoredObject, version: int) -> errors.ConflictError:
    change = _change_ids(stored)[:1] if stored.version == version else []
    by_change = f" by change {change[0]}" if change else ""
    return errors.ConflictError(
        f"the current version is {version}{by_change}; read it and apply again", version
    )


def _change_ids(stored: client.StoredObject) -> list[str]:
    """Returns the id of the change that wrote the object, then those before it."""
    value = stored.value if isinstance(stored.value, dict) else {}
    change_id = value.get(configuration.CHANGE_KEY)
    earlier = value.get(EARLIER_KEY, [])
    return [change_id, *earlier] if change_id else []
