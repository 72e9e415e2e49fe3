"""Replica of the configuration object: the configuration in force at this node."""

import threading
from collections.abc import Callable

import attrs
import logbook

from bergamotridge import errors
from bergamotridge.operators import operator_text
from bergamotridge.store import client

KIND = "configuration"
NAME = "current"
TEXT_KEY = "text"
CHANGE_KEY = "change_id"

_log = logbook.Logger(__name__)


@attrs.frozen
class Configuration:
    """One accepted version of the operator's text.

    Attributes:
        version: The platform's version of the object.
        text: The parsed and checked text.
        source: The text as the operator wrote it.
        change_id: Id of the change that wrote this version, "" if unknown.
    """

    version: int
    text: operator_text.OperatorText
    source: str
    change_id: str = ""


class ConfigurationStore:
    """Stores the configuration in force and accepts only higher versions.

    A text that this node cannot parse is rejected: the earlier text stays in force,
    `rejection_reason` holds the error, and the version counts as seen so that it is not fetched
    again.
    """

    def __init__(
        self, parse: Callable[[str, str], operator_text.OperatorText] = operator_text.parse
    ) -> None:
        """Creates a store without a configuration.

        Args:
            parse: Parses a source text, given the text and a name of it for error messages; raises
                SettingsError if the text is invalid.
        """
        self._parse = parse
        self._lock = threading.Lock()
        self._current: Configuration | None = None
        self._latest = client.Listing((), 0)
        self._rejection_reason: str | None = None
        self._ignored_id = ""
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self._current

    @property
    def rejection_reason(self) -> str | None:
        """Why the latest version was rejected, None if it is in force."""
        return self._rejection_reason

    @property
    def kind(self) -> str:
        """Kind of the platform object that holds the configuration."""
        return KIND

    @property
    def version(self) -> int:
        """Highest version seen, in force or rejected."""
        return self._latest.version

    def add_listener(self, callback: Callable[[Configuration], None]) -> None:
        """Registers a callback for each configuration that comes into force, in order of version.

        If a configuration is already in force, the callback is called with it at once.
        """
        with self._lock:
            self._listeners.append(callback)
            if self._current is not None:
                callback(self._current)

    def apply_version(self, version: int, source: str, change_id: str = "") -> bool:
        """Puts a text into force if it is valid and its version is above all versions seen.

        Returns:
            True if the text came into force.
        """
        with self._lock:
            if version <= self._latest.version:
                self._log_ignored(version, change_id)
                return False
            value = {TEXT_KEY: source, CHANGE_KEY: change_id}
            self._latest = _single_listing(version, value)
            try:
                parsed = self._parse(source, f"{KIND} version {version}")
            except errors.SettingsError as error:
                self._rejection_reason = str(error)
                _log.error("configuration kept out: {}", error)
                return False
            self._rejection_reason = None
            self._current = Configuration(version, parsed, source, change_id)
            for callback in self._listeners:
                callback(self._current)
            return True

    def listing_since(self, since: int) -> client.Listing:
        """Returns the latest object if its version is above `since`, even if it was rejected."""
        latest = self._latest
        return latest if latest.version > since else client.Listing((), latest.version)

    def apply_listing(self, listing: client.Listing) -> bool:
        """Calls `apply_version` with each text; returns True if any came into force."""
        changed = False
        for item in listing.items:
            value = item.value if isinstance(item.value, dict) else {}
            if item.name != NAME:
                continue
            if isinstance(value.get(TEXT_KEY), str):
                change_id = str(value.get(CHANGE_KEY, ""))
                changed = self.apply_version(item.version, value[TEXT_KEY], change_id) or changed
            else:
                self._reject_without_text(item)
        return changed

    def _log_ignored(self, version: int, change_id: str) -> None:
        """Logs another text that is not put into force because its version is not above those seen.

        Late and repeated listings are the usual cause; after a restoration of the store it may be a
        text that was written since.
        """
        if change_id not in (self._latest_change_id(), self._ignored_id):
            self._ignored_id = change_id
            _log.info(
                "change {} with version {} ignored, as version {} was seen before",
                change_id,
                version,
                self._latest.version,
            )

    def _latest_change_id(self) -> str:
        value = self._latest.items[0].value if self._latest.items else None
        return str(value.get(CHANGE_KEY, "")) if isinstance(value, dict) else ""

    def _reject_without_text(self, item: client.StoredObject) -> None:
        """Rejects an object that was deleted or has no text; the earlier text stays in force."""
        with self._lock:
            if item.version > self._latest.version:
                self._latest = _single_listing(item.version, item.value)
                self._rejection_reason = (
                    f"{KIND} version {item.version} has no text; apply a text to replace it"
                )
                _log.error("configuration kept out: {}", self._rejection_reason)


def _single_listing(version: int, value: object) -> client.Listing:
    return client.Listing((client.StoredObject(KIND, NAME, version, value),), version)
