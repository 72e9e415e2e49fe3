"""Faults of servers, each for a time and for a share of the requests, beside nodes that stop."""

import asyncio
import random

import attrs

from soak.machines import wire

EARLY = "answer before the body is read"
TWICE = "two answers"
CUT = "answer ends early"
CUT_WITHOUT_LENGTH = "answer without length is reset"
RESET = "reset with the answer on its way"
CLOSE = "Connection: close"
IDLE_CLOSE = "idle connection closed as a request is sent"
FEW_CONNECTIONS = "refusals at the bound of connections"
REPLACED = "server replaced"
SLOW = "slow"
FAILS = "fails"

OF_ANSWERS = (EARLY, TWICE, CUT, CUT_WITHOUT_LENGTH, RESET, CLOSE, IDLE_CLOSE)
ALL = (*OF_ANSWERS, FEW_CONNECTIONS, REPLACED)
BREAK_OFF = (CUT, CUT_WITHOUT_LENGTH, RESET)

IDLE_CLOSE_S = 0.05  # Idle connections are closed at a moment up to this time after an answer.
LEAST_CONNECTIONS = 2
SLOWER_TIMES = 4.0


@attrs.define
class Faults:
    """The fault of a server that is in force: its name, empty for none, and its share."""

    kind: str = ""
    share: float = 0.0

    def draw(self) -> str:
        """Draws the fault of one request; empty if its answer is to be sound."""
        return self.kind if self.kind in OF_ANSWERS and random.random() < self.share else ""

    def draw_failure(self) -> bool:
        """Draws whether a request fails; health checks don't."""
        return self.kind == FAILS and random.random() < self.share

    def slow_down(self, work_s: float) -> float:
        """Returns how long a request takes whose work lasts `work_s` on a sound server."""
        is_slow = self.kind == SLOW and random.random() < self.share
        return work_s * SLOWER_TIMES if is_slow else work_s

    def limit(self, connections: int) -> int:
        """Returns how many connections the server accepts, which has a limit of `connections`."""
        return LEAST_CONNECTIONS if self.kind == FEW_CONNECTIONS else connections


async def put_in_force(faults: Faults, kind: str, share: float, for_s: float) -> None:
    """Lets a server have a fault for a time."""
    faults.kind, faults.share = kind, share
    await asyncio.sleep(for_s)
    if faults.kind == kind:  # Another may have begun meanwhile.
        faults.kind = ""


async def send(writer: asyncio.StreamWriter, fault: str, start: str, fields: dict, body: bytes):
    """Sends the answer to a request with its fault; returns False if the connection is to end."""
    whole = wire.encode(start, fields, body)
    if fault == TWICE:
        writer.write(whole + whole)
    elif fault == CLOSE:
        writer.write(wire.encode(start, fields | {"Connection": "close"}, body))
    elif fault == CUT:
        writer.write(whole[: -len(body) // 2] if body else whole[: len(whole) // 2])
    elif fault == CUT_WITHOUT_LENGTH:
        head = wire.encode(start, fields | {"Connection": "close"}, length=False)
        writer.write(head + body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(random.uniform(0.0, IDLE_CLOSE_S))
        wire.reset(writer)
    else:
        writer.write(whole)
    await writer.drain()
    if fault == RESET:
        wire.reset(writer)
    if fault == IDLE_CLOSE:
        await asyncio.sleep(random.uniform(0.0, IDLE_CLOSE_S))
    return fault in (EARLY, TWICE)
