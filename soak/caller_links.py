"""A network between some callers and the nodes, with a link to each host that can have faults."""

import json
from collections.abc import Mapping

from standins import client, fleet, processes


class CallerLinks:
    """One link of `standins.relay` for each host, at an address of its own.

    Attributes:
        addresses: Address of the link by host.
    """

    def __init__(self, running: fleet.Fleet) -> None:
        """Starts the process of the links."""
        ports = processes.Ports()
        self._control = ports.allocate()
        self.addresses: Mapping[str, str] = {host: ports.allocate() for host in running.members}
        links = [
            f"--link={address}={running.addresses(host).callers}="
            for host, address in self.addresses.items()
        ]
        running.launch("caller-links", "standins.relay", f"--control={self._control}", *links)
        processes.wait_until(self._is_responding, "the links of callers respond")

    def inject(self, host: str, **faults: object) -> None:
        """Replaces the faults of the link to one host; see standins.relay.LinkFaults."""
        self._send("/link", listen=self.addresses[host], **faults)

    def reset(self, host: str) -> None:
        """Resets all open connections of the link to one host."""
        self._send("/reset", listen=self.addresses[host])

    def _is_responding(self) -> bool:
        try:
            self._send("/cut", failure_domains=[])
        except OSError:
            return False
        return True

    def _send(self, path: str, **request: object) -> None:
        client.send_request(self._control, "POST", path, json.dumps(request))
