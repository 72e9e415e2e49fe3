"""The configuration in force at this node; its version only rises."""

import threading
from collections.abc import Callable

import attrs
import logbook

from bergamotridge import errors
from bergamotridge.operators import text
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
        text: The checked text.
        source: The text as the operator wrote it.
        change_id: Id of the change that wrote it.
    """

    version: int
    text: text.Text
    source: str
    change_id: str = ""


class ConfigurationStore:
    """Holds the configuration in force and takes in only higher versions.

    A text that this node cannot read stays out: the earlier one remains in force, `rejected` says
    why, and the version counts as seen so that it is not fetched again.
    """

    def __init__(self, parse: Callable[[str, str], text.Text] = text.parse) -> None:
        """Starts without a configuration.

        Args:
            parse: Reads a source text; is given its name for messages and raises SettingsError.
        """
        self._parse = parse
        self._lock = threading.Lock()
        self._current: Configuration | None = None
        self._latest = client.Listing((), 0)
        self._rejected: str | None = None
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self._current

    @property
    def rejected(self) -> str | None:
        """Why the latest version was kept out, None if it is in force."""
        return self._rejected

    @property
    def kind(self) -> str:
        """Kind of the platform's object."""
        return KIND

    @property
    def version(self) -> int:
        """Highest version seen, in force or rejected."""
        return self._latest.version

    def listen(self, callback: Callable[[Configuration], None]) -> None:
        """Registers a callback for each configuration that comes into force, in order."""
        with self._lock:
            self._listeners.append(callback)
            if self._current is not None:
                callback(self._current)

    def offer(self, version: int, source: str, change_id: str = "") -> bool:
        """Puts a text into force if its version is above all seen; returns True if it did."""
        with self._lock:
            if version <= self._latest.version:
                return False
            value = {TEXT_KEY: source, CHANGE_KEY: change_id}
            self._latest = _listing(version, value)
            try:
                parsed = self._parse(source, f"{KIND} version {version}")
            except errors.SettingsError as error:
                self._rejected = str(error)
                _log.error("configuration kept out: {}", error)
                return False
            self._rejected = None
            self._current = Configuration(version, parsed, source, change_id)
            for callback in self._listeners:
                callback(self._current)
            return True

    def newer(self, since: int) -> client.Listing:
        """Returns the latest object if its version is above `since`, also if it was kept out."""
        latest = self._latest
        return latest if latest.version > since else client.Listing((), latest.version)

    def take(self, listing: client.Listing) -> bool:
        """Offers the texts of a listing; returns True if one came into force."""
        news = False
        for item in listing.items:
            value = item.value if isinstance(item.value, dict) else {}
            if item.name != NAME:
                continue
            if isinstance(value.get(TEXT_KEY), str):
                change_id = str(value.get(CHANGE_KEY, ""))
                news = self.offer(item.version, value[TEXT_KEY], change_id) or news
            else:
                self._reject(item)
        return news

    def _reject(self, item: client.StoredObject) -> None:
        """Keeps the text in force although the object was deleted or has no text."""
        with self._lock:
            if item.version > self._latest.version:
                self._latest = _listing(item.version, item.value)
                self._rejected = f"{KIND} version {item.version} has no text"
                _log.error("configuration kept out: {}", self._rejected)


def _listing(version: int, value: object) -> client.Listing:
    return client.Listing((client.StoredObject(KIND, NAME, version, value),), version)
