"""What an upstream says of itself."""

import attrs

from bergamotridge.nodes import record


@attrs.frozen
class Announcement:
    """One announcement; see docs/internals.md for the wire form.

    Attributes:
        service: Service of the upstream.
        address: IP:PORT at which it takes calls.
        state: Its state.
        incarnation: Start of the upstream, higher after each restart.
        slots: Calls that it says it can run at once.
        connections: Connections that it says it accepts.
        load: Load that it claims; a hint that decides nothing.
        instance: Id of this start of the upstream, "" if it gives none.
        sequence: Rises with each announcement of one incarnation, 0 if it gives none.
        cold_s: Seconds for which it stays slow after its start, None if it does not say.
        last: True if it will announce itself no more.
    """

    service: str
    address: str
    state: record.State
    incarnation: int
    slots: int
    connections: int
    load: float
    instance: str = ""
    sequence: int = 0
    cold_s: float | None = None
    last: bool = False

    def replaces(self, earlier: "Announcement | None") -> bool:
        """Returns False if this one was overtaken by `earlier` on its way."""
        if earlier is None or (not self.sequence and not self.last):
            return True
        if self.incarnation != earlier.incarnation:
            return self.incarnation > earlier.incarnation
        if self.last or earlier.last:
            return not earlier.last
        return self.sequence > earlier.sequence
