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


@attrs.frozen
class TextKeys:
    """Checks keys against the configuration in force; a new version grants and withdraws them."""

    routes: Routes

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
        scheme, _, secret_text = (authorization or "").partition(" ")
        known = self.routes.routes().team_of_key
        team = known.get(secret_text.strip()) if scheme.lower() == keys.SCHEME else None
        if team is None:
            raise errors.CallError("no valid key came with the request", status=401, reason="key")
        return keys.Key(xxhash.xxh64_hexdigest(secret_text.encode()), team)
