"""One HTTP request on a connection of its own."""

import contextlib
import http.client

import attrs

ASK_S = 5.0


@attrs.frozen
class Reply:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """The verdict header, or ""."""
        return self.headers.get("bergamotridge-verdict", "")


def ask(
    address: str,
    method: str,
    path: str,
    body: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = ASK_S,
) -> Reply:
    """Sends one request on a connection of its own; raises OSError or HTTPException."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return Reply(answer.status, names, answer.read())
