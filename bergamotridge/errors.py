"""The exception hierarchy: one base class, and a category on every class."""

import enum

from bergamotridge import verdict

DEADLINE = "deadline"  # Reason of a call whose time was over, or too short.


class Category(enum.Enum):
    """Kind of mistake or failure that an error reports."""

    USAGE = "usage"
    SETTINGS = "settings"
    PLATFORM = "platform"
    CALL = "call"
    NODE = "node"


class BergamotridgeError(Exception):
    """Base class of all errors of this package.

    Subclasses set `category`; the message says what to do about the error.
    """

    category = Category.NODE


class UsageError(BergamotridgeError):
    """The command line is invalid."""

    category = Category.USAGE


class SettingsError(BergamotridgeError):
    """A settings file, or the operator's text (configuration that operators write), is invalid.

    The message names the file, the key and the accepted values.
    """

    category = Category.SETTINGS


class AddressUnavailableError(BergamotridgeError):
    """This process cannot listen on an address that it needs."""

    category = Category.SETTINGS


class AddressInUseError(AddressUnavailableError):
    """Another process listens on an address that this process needs."""


class PlatformError(BergamotridgeError):
    """The platform refused a request or could not be reached."""

    category = Category.PLATFORM


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may have taken effect or not."""


class MalformedObjectError(PlatformUnavailableError):
    """The platform answered with an object that cannot be read.

    As an answer to a write it leaves the outcome open, as no answer does.
    """


class PlatformRestoredError(PlatformUnavailableError):
    """The platform was restored from a copy while a write was under way.

    The write may have taken effect and been lost, and parts of the fleet may have read it.
    """


class ConflictError(PlatformError):
    """A conditional update was refused because its version is not the current version.

    Attributes:
        version: The current version (a `store.position.Position`); its revision is 0 if the object
            does not exist.
    """

    def __init__(self, message: str, version: object) -> None:
        super().__init__(message)
        self.version = version


class NotFoundError(PlatformError):
    """The object does not exist on the platform.

    Attributes:
        version: Version (a `store.position.Position`) that stands for the missing object, if the
            platform was asked for it.
    """

    def __init__(self, message: str, version: object = None) -> None:
        super().__init__(message)
        self.version = version


class MalformedEntryError(BergamotridgeError, ValueError):
    """An entry, record or message of another process cannot be read and is skipped."""

    category = Category.NODE


class OperatorPortError(BergamotridgeError):
    """The operators' port of a node refused a request or could not be reached."""

    category = Category.NODE


class CallError(BergamotridgeError):
    """A call was refused or failed.

    Attributes:
        status: HTTP status of the response to the caller.
        verdict: Whether the call may have run at an upstream.
        reason: A short fixed word for metrics and events, such as ``"rate"`` or ``"shed"``.
        retry_after_s: Seconds after which the caller may try again, or None.
    """

    category = Category.CALL

    def __init__(
        self,
        message: str,
        *,
        status: int,
        reason: str,
        verdict: verdict.Verdict = verdict.Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class ClaimedElsewhereError(CallError):
    """Another process holds the claim on the call's Idempotency-Key.

    Attributes:
        host: Host of that process.
        incarnation: Start time of that process in milliseconds.
    """

    def __init__(self, host: str, incarnation: int) -> None:
        super().__init__(
            f"a call with this Idempotency-Key went to host '{host}' and may have run",
            status=409,
            reason="idempotency-doubt",
            verdict=verdict.Verdict.MAY_HAVE_RUN,
        )
        self.host = host
        self.incarnation = incarnation
