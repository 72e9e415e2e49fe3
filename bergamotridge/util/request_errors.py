"""Why the input of a connection is refused before a request was read completely."""


class BadRequestError(Exception):
    """A request is refused before it was read completely.

    Attributes:
        status: HTTP status of the response that refuses the request.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class NoRoomError(BadRequestError):
    """There is no room in memory for a request."""

    def __init__(self) -> None:
        super().__init__(503)


def find_cause(error: Exception) -> BadRequestError:
    """Returns why the input is refused on which the request reader has raised `error`."""
    # httptools raises its own error from the exception of a callback.
    cause = error if isinstance(error, BadRequestError) else error.__context__
    return cause if isinstance(cause, BadRequestError) else BadRequestError(400)
