"""The record of an upstream that nodes exchange by gossip."""

import enum

import attrs

MAX_SLOTS = 1_000_000


class State(enum.Enum):
    """State of an upstream from its announcements; LOST if none has come for too long.

    A node also publishes LOST for its upstream when the node stops.
    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"


@attrs.frozen
class UpstreamRecord:
    """One version of the record of the upstream on one host.

    Records of a host are ordered by (`incarnation`, `version`); later ones replace earlier ones.

    Attributes:
        host: Host on which the upstream and its node run.
        incarnation: Start time of that node's process in milliseconds.
        version: Counter that increases with each change within the incarnation.
        failure_domain: Failure domain of the host.
        region: Region of the host.
        service: Service that the upstream serves, "" if none has announced itself.
        state: State of the upstream.
        slots: Calls that the upstream can run concurrently.
        load: Fraction of its concurrency limit in use, from 0.0; above 1.0 when calls wait.
        relay_address: IP:PORT for relayed calls.
        control_address: IP:PORT for control messages.
        operators_address: IP:PORT for requests of operators.
    """

    host: str
    incarnation: int
    version: int
    failure_domain: str
    region: str
    service: str
    state: State
    slots: int
    load: float
    relay_address: str
    control_address: str
    operators_address: str = ""

    @property
    def order(self) -> tuple[int, int]:
        """Sort key among the records of the same host."""
        return (self.incarnation, self.version)
