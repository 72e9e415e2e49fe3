"""What nodes tell each other about an upstream."""

import enum

import attrs


class State(enum.Enum):
    """Life of an upstream as its own announcements give it; LOST means silent for too long."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"


@attrs.frozen
class UpstreamRecord:
    """One version of what is known about the upstream on one host.

    Records of a host are ordered by (`incarnation`, `version`); a later one replaces an earlier.

    Attributes:
        host: Host of the upstream and of the node beside it.
        incarnation: Start time of that node's process in milliseconds.
        version: Counter of changes within the incarnation.
        failure_domain: Failure domain of the host.
        region: Region of the host.
        service: Service that the upstream serves, "" if none has announced itself.
        state: State of the upstream.
        slots: Calls it can run at once.
        load: Share of its limit in use, 0.0 to 1.0 and above when calls wait.
        relay_address: IP:PORT for relayed calls.
        control_address: IP:PORT for control messages.
        operators_address: IP:PORT for operators.
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
        """Position among the records of the same host."""
        return (self.incarnation, self.version)
