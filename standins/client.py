"""HTTP client that sends one request on a new connection."""

import contextlib
import http.client

import attrs

REQUEST_TIMEOUT_S = 5.0


@attrs.frozen
class Reply:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """Value of the verdict header, or "" if the response has none."""
        return self.headers.get("bergamotridge-verdict", "")


def send_request(
    address: str,
    method: str,
    path: str,
    body: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> Reply:
    """Sends one request on a new connection; raises OSError or HTTPException if it fails."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        response_headers = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, response_headers, response.read())
