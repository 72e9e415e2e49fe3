"""What the steps of other modules ask of a fleet."""

from typing import Protocol

from soak.machines import access, pauses, shape


class Scene(Protocol):
    """The part of a fleet that steps act on."""

    held: access.Access
    shape: shape.Shape
    size: int

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

    def starve(self, number: int, share: float, period_s: float) -> pauses.Pauser:
        """Leaves the nodes of machine `number` a share of the time, until the pauser is ended."""

    async def freeze(self, number: int, after_s: float, for_s: float) -> None:
        """Freezes the nodes of machine `number` once, after some time."""
