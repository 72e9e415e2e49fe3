"""Loopback addresses for a fleet."""

import random
import socket

from soak.machines import machine, store

STORE = 200  # Last number of the address of the store; machines have theirs from 1 on.


class NotReadyError(Exception):
    """The fleet didn't come up."""


def find(seed: int) -> str:
    """Returns the first three numbers of loopback addresses whose ports are free."""
    rng = random.Random(f"network {seed}")
    for _ in range(50):
        prefix = f"127.{rng.randrange(10, 250)}.{rng.randrange(10, 250)}"
        try:
            for last, port in ((1, machine.OUTBOUND_PORT), (STORE, store.PORT + 1)):
                socket.create_server((f"{prefix}.{last}", port)).close()
        except OSError:
            continue
        return prefix
    raise NotReadyError("no free loopback addresses")
