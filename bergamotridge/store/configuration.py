"""Replica of the configuration object: the configuration in force at this node."""

import threading
from collections.abc import Callable

import attrs
import logbook

from bergamotridge import errors
from bergamotridge.operators import operator_text
from bergamotridge.store import client, position, replica

KIND = "configuration"
NAME = "current"
TEXT_KEY = "text"
CHANGE_KEY = "change_id"
# Epoch and number by which texts are ordered, also those of different epochs of the store.
ORDER_KEY = "order"

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

    version: position.Position
    text: operator_text.OperatorText
    source: str
    change_id: str = ""


@attrs.frozen
class _Latest:
    """What the latest accepted object holds, in force or rejected."""

    order: position.Position = position.START
    value: object = None


class ConfigurationStore:
    """Stores the configuration in force and accepts only later texts.

    Texts have an order of their own, as the store may be restored from a copy with an earlier
    text. The text in force stays then, until one that is later by its own order is written.

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
        self._latest = _Latest()
        self._position = position.START
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
    def version(self) -> replica.ReplicaVersion:
        """Order of the latest text, in force or rejected, and highest position seen."""
        with self._lock:
            return replica.ReplicaVersion(self._latest.order, self._position)

    def add_listener(self, callback: Callable[[Configuration], None]) -> None:
        """Registers a callback for each configuration that comes into force, in order of version.

        If a configuration is already in force, the callback is called with it at once.
        """
        with self._lock:
            self._listeners.append(callback)
            if self._current is not None:
                callback(self._current)

    def apply_version(
        self,
        version: position.Position,
        source: str,
        change_id: str = "",
        order: position.Position | None = None,
    ) -> bool:
        """Puts a text into force if it is valid and later than the latest one.

        Args:
            version: Position of the object that holds the text.
            source: The text.
            change_id: Id of the change that wrote it, "" if unknown.
            order: Order of the text, None for a text without one: it is as late as its position.

        Returns:
            True if the text came into force.
        """
        order = version if order is None else order
        with self._lock:
            is_later = replica.ReplicaVersion(order, version) > replica.ReplicaVersion(
                self._latest.order, self._position
            )
            self._position = max(self._position, version)
            if not is_later:
                self._log_ignored(version, change_id)
                return False
            value = {
                TEXT_KEY: source,
                CHANGE_KEY: change_id,
                ORDER_KEY: [order.epoch, order.revision],
            }
            is_repeated = value == self._latest.value and self._rejection_reason is None
            self._latest = _Latest(order, value)
            if is_repeated and self._current is not None:
                self._current = attrs.evolve(self._current, version=self._position)
                return False
            return self._put_into_force(source, change_id)

    def listing_since(self, since: replica.ReplicaVersion) -> client.Listing:
        """Returns the latest object if it is later than `since`, even if it was rejected."""
        with self._lock:
            version = replica.ReplicaVersion(self._latest.order, self._position)
            if version <= since:
                return client.Listing((), self._position)
            item = client.StoredObject(KIND, NAME, self._position, self._latest.value)
            return client.Listing((item,), self._position)

    def apply_listing(self, listing: client.Listing) -> bool:
        """Calls `apply_version` with each text; returns True if any came into force."""
        changed = False
        for item in listing.items:
            value = item.value if isinstance(item.value, dict) else {}
            if item.name != NAME:
                continue
            if isinstance(value.get(TEXT_KEY), str):
                given_id = value.get(CHANGE_KEY)
                change_id = given_id if isinstance(given_id, str) else ""
                order = _decode_order(value.get(ORDER_KEY))
                changed = (
                    self.apply_version(item.version, value[TEXT_KEY], change_id, order) or changed
                )
            else:
                self._reject_without_text(item)
        return changed

    def _put_into_force(self, source: str, change_id: str) -> bool:
        """Parses the latest text and puts it into force; returns False if it is invalid."""
        try:
            parsed = self._parse(source, f"{KIND} version {self._position}")
        except errors.SettingsError as error:
            self._rejection_reason = str(error)
            _log.error("configuration kept out: {}", error)
            return False
        self._rejection_reason = None
        self._current = Configuration(self._position, parsed, source, change_id)
        for callback in self._listeners:
            callback(self._current)
        return True

    def _log_ignored(self, version: position.Position, change_id: str) -> None:
        """Logs another text that is not put into force because it is not later than the latest.

        Late and repeated listings are the usual cause, or a store that came back from a copy.
        """
        latest_id = _change_id(self._latest.value)
        if change_id not in (latest_id, self._ignored_id):
            self._ignored_id = change_id
            _log.info(
                "change {} with version {} ignored, the later change {} stays",
                change_id,
                version,
                latest_id,
            )

    def _reject_without_text(self, item: client.StoredObject) -> None:
        """Rejects an object that was deleted or has no text; the earlier text stays in force."""
        with self._lock:
            if item.version > self._position:
                self._position = item.version
                # Other nodes need no more than to know that this version has no text.
                self._latest = _Latest(self._latest.order, None)
                self._rejection_reason = (
                    f"{KIND} version {item.version} has no text; apply a text to replace it"
                )
                _log.error("configuration kept out: {}", self._rejection_reason)


def _change_id(value: object) -> str:
    return str(value.get(CHANGE_KEY, "")) if isinstance(value, dict) else ""


def _decode_order(value: object) -> position.Position | None:
    """Returns the order of a text, None if it has none that can be read."""
    if not isinstance(value, list) or len(value) != 2:
        return None
    if not all(isinstance(number, int) and number >= 0 for number in value):
        return None
    return position.Position(*value)
