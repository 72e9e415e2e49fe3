"""API keys that are part of the operator's text, listed with the teams."""

from typing import Protocol

import attrs
import xxhash

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.nodes import routing


class Routes(Protocol):
    """Source of the routes in force."""

    def routes(self) -> routing.RouteTable:
        """Returns the routes; raises CallError with status 503 before the first configuration."""


@attrs.define
class TextKeys:
    """Checks keys against the configuration in force.

    A key is granted or withdrawn by a new version of the configuration.

    Attributes:
        routes: Source of the routes in force.
    """

    routes: Routes
    _cached_table: routing.RouteTable | None = attrs.field(default=None, init=False)
    _keys_by_header: dict[str, keys.Key] = attrs.field(factory=dict, init=False)

    def check(self, authorization: str | None, now: float) -> keys.Key:
        """Returns the key of an Authorization header.

        Args:
            authorization: Value of the header, None if there was none.
            now: Monotonic time in seconds; unused, as only a new configuration withdraws a key.

        Raises:
            CallError: Status 401 with reason ``"key"``: the key is missing, malformed or not in the
                operator's text.
        """
        del now
        table = self.routes.routes()
        if table is not self._cached_table:
            self._cached_table, self._keys_by_header = table, {}
        key = self._keys_by_header.get(authorization)
        if key is None:
            # Only headers with a valid key are cached, so the number of keys bounds the cache.
            key = self._keys_by_header[authorization] = _find_key(table, authorization)
        return key


def _find_key(table: routing.RouteTable, authorization: str | None) -> keys.Key:
    scheme, _, secret_text = (authorization or "").partition(" ")
    secret_text = secret_text.strip()
    team = table.team_of_key.get(secret_text) if scheme.lower() == keys.AUTH_SCHEME else None
    if team is None:
        raise errors.CallError(
            "the request has no valid key; send one as 'Authorization: Bearer KEY'",
            status=401,
            reason="key",
        )
    return keys.Key(xxhash.xxh64_hexdigest(secret_text.encode()), team)
