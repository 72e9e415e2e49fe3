"""A TCP relay on loopback that counts the bytes that it carries both ways."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65_536


class CountingRelay:
    """Carries connections from its own address to a target until the process ends."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._lock = threading.Lock()
        self._bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """IP:PORT to connect to."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    @property
    def carried_bytes(self) -> int:
        """Bytes carried so far, both ways together."""
        return self._bytes

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection((self._host, self._port))
            for source, target in ((near, far), (far, near)):
                threading.Thread(target=self._carry, args=(source, target), daemon=True).start()

    def _carry(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                with self._lock:
                    self._bytes += len(chunk)
                target.sendall(chunk)
        target.close()
