"""Writes the operator's text to the platform as a conditional update and determines its outcome.

The object holds the id of the change that wrote it and the ids of the latest changes before that.
So if the response to a write is lost, reading the object shows whether that change took effect,
even when other operators have changed the configuration since.
"""

import uuid

import attrs

from bergamotridge import errors
from bergamotridge.operators import operator_text
from bergamotridge.store import client, configuration, position

MAX_WRITE_ATTEMPTS = 4
EARLIER_KEY = "earlier_change_ids"
MAX_EARLIER_CHANGE_IDS = 50


@attrs.frozen
class AppliedChange:
    """A change of the configuration that took effect in the platform.

    Attributes:
        version: Version that the change wrote, or a later one if other changes have followed.
        change_id: Id of the change.
        replaced: True if a later change has already replaced it.
    """

    version: position.Position
    change_id: str
    replaced: bool = False


def apply(
    platform: client.ObjectClient, source: str, read_version: position.Position
) -> AppliedChange:
    """Writes the operator's text if the version that the operator read is still current.

    Args:
        platform: Client of the platform.
        source: The operator's text.
        read_version: Version of the configuration that the operator edited; one that stands for a
            missing object if there was none.

    Returns:
        The version of the written text and the id of this change.

    Raises:
        SettingsError: The text is invalid; nothing was written.
        ConflictError: Another change was written first and this one did not take effect; the
            message holds the id of the other change, if known.
        PlatformUnavailableError: The platform did not answer. If the write may have taken effect,
            the message holds the id of this change, to look for in the configuration.
        PlatformRestoredError: The platform was restored from a copy before the outcome was known.
            Nodes may have the text in force though the platform lacks it.
    """
    operator_text.parse(source, "text")
    current = _read_current(platform)
    if not read_version.exists and not current.version.exists:
        read_version = current.version
    if current.version > read_version:
        raise _conflict_error(current, current.version)
    if current.version < read_version:
        raise errors.PlatformUnavailableError(
            "the platform returned an outdated version of the configuration; try again"
        )
    change_id = uuid.uuid4().hex
    value = {
        configuration.TEXT_KEY: source,
        configuration.CHANGE_KEY: change_id,
        configuration.ORDER_KEY: [read_version.epoch, read_version.revision],
        EARLIER_KEY: _change_ids(current)[:MAX_EARLIER_CHANGE_IDS],
    }
    return _write(platform, value, read_version)


def _write(
    platform: client.ObjectClient, value: dict, read_version: position.Position
) -> AppliedChange:
    """Repeats the conditional update until its outcome is known or all attempts are used up.

    All attempts are conditional on the same version, so at most one of them takes effect.
    """
    change_id = value[configuration.CHANGE_KEY]
    last_error: errors.PlatformError | None = None
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            version = platform.put(configuration.KIND, configuration.NAME, value, read_version)
            return AppliedChange(version, change_id)
        except errors.ConflictError as error:
            if last_error is None:
                raise _conflict_error(_read_current(platform), error.version) from error
        except errors.PlatformUnavailableError as error:
            last_error = error
        try:
            return _resolve_outcome(_read_current(platform), change_id, read_version)
        except errors.PlatformRestoredError:
            raise
        except errors.PlatformUnavailableError as error:
            last_error = error
    raise errors.PlatformUnavailableError(
        f"the platform did not answer; change {change_id} on version {read_version} may have "
        "taken effect or may still do so; read the configuration again to find out"
    ) from last_error


def _resolve_outcome(
    stored: client.StoredObject, change_id: str, read_version: position.Position
) -> AppliedChange:
    """Returns the outcome of a change, given the object as read after the write.

    Raises:
        ConflictError: Another change was written instead.
        PlatformRestoredError: The object is from a copy, which says nothing about the change.
        PlatformUnavailableError: The outcome is not known yet.
    """
    change_ids = _change_ids(stored)
    if change_id in change_ids:
        return AppliedChange(stored.version, change_id, replaced=change_ids[0] != change_id)
    if stored.version.epoch != read_version.epoch:
        raise errors.PlatformRestoredError(
            f"the platform was restored from a copy and lacks change {change_id}, which nodes may "
            "have in force; read the configuration and apply the change again"
        )
    if stored.version <= read_version:
        raise errors.PlatformUnavailableError(
            "the configuration does not show the change yet; read it again"
        )
    raise _conflict_error(stored, stored.version)


def _read_current(platform: client.ObjectClient) -> client.StoredObject:
    try:
        return platform.get(configuration.KIND, configuration.NAME)
    except errors.NotFoundError as error:
        return client.StoredObject(configuration.KIND, configuration.NAME, error.version, None)


def _conflict_error(
    stored: client.StoredObject, version: position.Position
) -> errors.ConflictError:
    change = _change_ids(stored)[:1] if stored.version == version else []
    by_change = f" by change {change[0]}" if change else ""
    return errors.ConflictError(
        f"the current version is {version}{by_change}; read it and apply again", version
    )


def _change_ids(stored: client.StoredObject) -> list[str]:
    """Returns the id of the change that wrote the object, then those of earlier changes."""
    value = stored.value if isinstance(stored.value, dict) else {}
    change_id, earlier = value.get(configuration.CHANGE_KEY), value.get(EARLIER_KEY)
    if not isinstance(change_id, str) or not change_id:
        return []
    earlier_ids = earlier if isinstance(earlier, list) else []
    return [change_id, *(item for item in earlier_ids if isinstance(item, str))]
