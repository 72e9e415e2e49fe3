"""The record of an upstream that nodes exchange by gossip."""

import enum

import attrs

from bergamotridge.util import addresses, fields

MAX_SLOTS = 1_000_000
MAX_LOAD = 1_000_000.0
# Records above this version are refuted by a higher incarnation, not by a higher version.
MAX_REFUTED_VERSION = 2**62


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
        left_instance: Id of the upstream that said last that it leaves, "" if it has no id.
        left_incarnation: Number of the start of that upstream, 0 if none has said so.
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
    left_instance: str = ""
    left_incarnation: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key among the records of the same host."""
        return (self.incarnation, self.version)


def check(item: UpstreamRecord) -> None:
    """Checks a record that another process sent.

    A value that does not fit into a message would end each message that passes the record on.

    Raises:
        MalformedEntryError: A value is out of its range, or an address is not one.
    """
    fields.text("host", item.host)
    fields.text("failure_domain", item.failure_domain)
    fields.text("region", item.region)
    fields.text("service", item.service, min_length=0)
    check_order(item.incarnation, item.version)
    fields.whole_number("slots", item.slots, 0, MAX_SLOTS)
    fields.number("load", item.load, 0.0, MAX_LOAD)
    addresses.parse(item.relay_address)
    addresses.parse(item.control_address)
    if item.operators_address:
        addresses.parse(item.operators_address)
    fields.text("left_instance", item.left_instance, min_length=0)
    fields.whole_number("left_incarnation", item.left_incarnation, 0, fields.MAX_INTEGER)


def check_order(incarnation: int, version: int) -> None:
    """Checks the numbers that order records; raises MalformedEntryError.

    A host publishes a higher number than any that it receives for itself, so there is room above.
    """
    fields.whole_number("incarnation", incarnation, 0, fields.MAX_START_MS)
    fields.whole_number("version", version, 0, fields.MAX_INTEGER)
