"""What the steps of other modules ask of a fleet."""

from typing import Protocol

from soak.machines import access, client, machine, pauses, record, shape, store


class Scene(Protocol):
    """The part of a fleet that steps act on."""

    held: access.Access
    shape: shape.Shape
    rows: record.Record
    size: int
    machines: list[machine.Machine]
    store: store.Store

    def find_machine(self, number: int) -> machine.Machine:
        """Returns a machine by its number."""

    def find_server(self, item: machine.Machine, share: float) -> machine.Machine:
        """Returns another machine whose server runs a drawn service, any other if there is none."""

    def draw_service(self, share: float) -> str:
        """Returns a service by its place, from 0 to 1."""

    async def add_machine(self, service: str) -> machine.Machine:
        """Starts one more machine: its node, and a server of a service."""

    async def start_node(self, item: machine.Machine) -> None:
        """Starts a node with the machine's present service, and a server beside it."""

    async def start_server(self, item: machine.Machine) -> None:
        """Starts the next server of a machine."""

    async def stop(self, item: machine.Machine, values: dict) -> None:
        """Stops a node as planned, with clients that come at that time, and starts the next."""

    def configure(self, held: access.Access | None = None) -> None:
        """Writes the next configuration, with other keys and limits if they are given."""

    async def trouble_store(self, trouble: str, for_s: float) -> None:
        """Troubles the store for some time."""

    async def stop_several(self, number: int, values: dict) -> None:
        """Stops nodes as planned, from that of machine `number` on, and starts them again."""

    async def reload(self, number: int, gaps: list[float]) -> None:
        """Sends SIGHUP to a node after each of the gaps."""

    async def press(self, for_s: float, times: int) -> None:
        """Adds clients for some time, until there are `times` as many as before."""

    async def freeze_serving(self, number: int, after_s: float, for_s: float) -> None:
        """Lets the node of machine `number` stand still for some time, unless it stops."""

    def address_of(self, number: int) -> str:
        """Returns the address at which the node of machine `number` takes requests."""

    def list_askers(self, number: int) -> tuple[str, list[int]]:
        """Returns the service of machine `number`, and the machines that ask others for it."""

    def send_by(
        self, number: int, style: client.Style, seed: str, of: shape.Shape, for_s: float
    ) -> None:
        """Adds a client of machine `number` for some time, with requests of a shape."""

    def starve(self, number: int, share: float, period_s: float) -> pauses.Pauser:
        """Leaves the nodes of machine `number` a share of the time, until the pauser is ended."""

    async def freeze(self, number: int, after_s: float, for_s: float) -> None:
        """Freezes the latest node of machine `number` once, after some time."""
