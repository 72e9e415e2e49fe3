"""The HTTP port for operators: listens, and loads the server and its pages at the first request.

Few nodes are ever asked. The others need not hold werkzeug in memory, nor spend processor time on
it at their start.
"""

import selectors
import socket
import threading
from collections.abc import Callable, Sequence
from concurrent import futures
from typing import TYPE_CHECKING

from bergamotridge.util import listening

if TYPE_CHECKING:
    from bergamotridge.operators import page_server

LISTEN_BACKLOG = 64


class OperatorPort:
    """Serves pages to operators."""

    def __init__(
        self, address: str, create_pages: "Callable[[], Sequence[page_server.Page]]"
    ) -> None:
        """Prepares the port.

        Args:
            address: IP:PORT to listen on.
            create_pages: Returns the pages; no two have the same method and path.
        """
        self._address = address
        self._create_pages = create_pages
        self._listener: socket.socket | None = None
        self._lock = threading.Lock()
        self._server: page_server.PageServer | None = None
        self._stopping = False
        # Becomes readable when the port is stopped before its first request.
        self._stop_reader, self._stop_writer = socket.socketpair()
        self._executor = futures.ThreadPoolExecutor(1, "operators-port")

    @property
    def address(self) -> str:
        """IP:PORT; once started, with the port that was bound if the given port was 0."""
        if self._listener is None:
            return self._address
        return f"{self._address.rpartition(':')[0]}:{self._listener.getsockname()[1]}"

    def start(self, bound: socket.socket | None = None) -> None:
        """Starts serving.

        Args:
            bound: Socket bound to the address; if None, the address is bound.

        Raises:
            AddressUnavailableError: The address can't be bound or listened on.
        """
        endpoint = listening.Endpoint(self._address, "operators", "'addresses.operators'")
        listener = bound or endpoint.bind()
        endpoint.listen(listener, LISTEN_BACKLOG)
        self._listener = listener
        self._executor.submit(self._serve)

    def stop(self) -> None:
        """Completes the requests in progress and closes the port."""
        with self._lock:
            self._stopping = True
        self._stop_writer.close()
        if self._server is not None:
            self._server.stop()
        self._executor.shutdown(wait=True)
        self._stop_reader.close()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _serve(self) -> None:
        """Waits for the first request, then serves until the port is stopped."""
        with selectors.DefaultSelector() as selector:
            selector.register(self._listener, selectors.EVENT_READ)
            selector.register(self._stop_reader, selectors.EVENT_READ)
            selector.select()
        with self._lock:
            if self._stopping:
                return
            # Not imported before, as all of werkzeug comes with it.
            from bergamotridge.operators import page_server

            self._server = page_server.PageServer(self._listener, self._create_pages())
        self._server.serve()
