"""A TCP relay on loopback that counts the bytes relayed in both directions."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65_536


class CountingRelay:
    """Relays connections from its own address to a target until the process ends."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._lock = threading.Lock()
        self._carried_bytes = 0
        threading.Thread(target=self._accept_connections, daemon=True).start()

    @property
    def address(self) -> str:
        """IP:PORT to connect to."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    @property
    def carried_bytes(self) -> int:
        """Bytes relayed so far, both directions together."""
        return self._carried_bytes

    def _accept_connections(self) -> None:
        while True:
            near_socket, _ = self._listener.accept()
            far_socket = socket.create_connection((self._host, self._port))
            for source, target in ((near_socket, far_socket), (far_socket, near_socket)):
                threading.Thread(
                    target=self._relay_bytes, args=(source, target), daemon=True
                ).start()

    def _relay_bytes(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                with self._lock:
                    self._carried_bytes += len(chunk)
                target.sendall(chunk)
        target.close()
