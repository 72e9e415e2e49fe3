"""Keys that stand in the operator's text itself, beside the teams."""

from typing import Protocol

import attrs
import xxhash

from bergamotridge import errors
from bergamotridge.callers import keys
from bergamotridge.nodes import routing


class Routes(Protocol):
    """Gives the routes now in force."""

    def routes(self) -> routing.RouteTable:
        """Returns the table; raises CallError 503 before the first configuration."""


@attrs.define
class TextKeys:
    """Checks keys against the configuration in force; a new version grants and withdraws them."""

    routes: Routes
    _table: routing.RouteTable | None = attrs.field(default=None, init=False)
    _checked: dict[str, keys.Key] = attrs.field(factory=dict, init=False)

    def check(self, authorization: str | None, now: float) -> keys.Key:
        """Returns the key that an Authorization header carries.

        Args:
            authorization: Value of the header, None if there was none.
            now: Monotonic time in seconds; the configuration alone ends a key, so it decides
                nothing.

        Raises:
            CallError: 401 with reason ``"key"``: missing, malformed or not in the text.
        """
        del now
        table = self.routes.routes()
        if table is not self._table:
            self._table, self._checked = table, {}
        found = self._checked.get(authorization)
        if found is None:
            # Only valid headers are kept, so their number is bounded by that of the keys.
            found = self._checked[authorization] = _key(table, authorization)
        return found


def _key(table: routing.RouteTable, authorization: str | None) -> keys.Key:
    scheme, _, secret_text = (authorization or "").partition(" ")
    secret_text = secret_text.strip()
    team = table.team_of_key.get(secret_text) if scheme.lower() == keys.SCHEME else None
    if team is None:
        raise errors.CallError("no valid key came with the request", status=401, reason="key")
    return keys.Key(xxhash.xxh64_hexdigest(secret_text.encode()), team)
