"""The HTTP port for operators: serves a fixed set of pages with werkzeug's server.

Every connection carries one request and is closed after its response, so that a few worker threads
serve any number of operators.
"""

import concurrent.futures
import socket
from collections.abc import Callable, Sequence

import attrs
import logbook
import werkzeug
from werkzeug import exceptions, serving

from bergamotridge import errors

WORKER_THREADS = 4
REQUEST_TIMEOUT_S = 5
SHUTDOWN_POLL_S = 0.1
LISTEN_BACKLOG = 64
MAX_BODY_BYTES = 65_536

logger = logbook.Logger(__name__)


@attrs.frozen
class Page:
    """One page of the port.

    Attributes:
        method: HTTP method.
        path: Whole path.
        answer: Returns the response to a request; may raise werkzeug's HTTP exceptions.
    """

    method: str
    path: str
    answer: Callable[[werkzeug.Request], werkzeug.Response]


class _RequestHandler(serving.WSGIRequestHandler):
    timeout = REQUEST_TIMEOUT_S

    def log(self, type: str, message: str, *args: object) -> None:
        """Logs through logbook."""
        logger.log("ERROR" if type == "error" else "DEBUG", message % args if args else message)


class _Server(serving.BaseWSGIServer):
    """Werkzeug's server; runs requests on a thread pool of bounded size."""

    def __init__(self, listener: socket.socket, app: Callable) -> None:
        host, port = listener.getsockname()[:2]
        super().__init__(host, port, app, _RequestHandler, fd=listener.fileno())
        # One more thread runs serve_forever.
        self._executor = concurrent.futures.ThreadPoolExecutor(WORKER_THREADS + 1, "operators")

    def start(self) -> None:
        self._executor.submit(self.serve_forever, SHUTDOWN_POLL_S)

    def process_request(self, request: socket.socket, client_address: tuple) -> None:
        self._executor.submit(self._serve_connection, request, client_address)

    def _serve_connection(self, request: socket.socket, client_address: tuple) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError as error:
            logger.debug("connection from {} failed: {}", client_address, error)
        finally:
            self.shutdown_request(request)

    def stop(self) -> None:
        self.shutdown()
        self._executor.shutdown(wait=True)


class OperatorPort:
    """Serves pages to operators."""

    def __init__(self, address: str, pages: Sequence[Page]) -> None:
        """Prepares the port.

        Args:
            address: IP:PORT to listen on.
            pages: The pages; no two have the same method and path.
        """
        self._address = address
        self._pages = {(page.path, page.method): page for page in pages}
        self._server: _Server | None = None

    @property
    def address(self) -> str:
        """IP:PORT; once started, with the port that was bound if the given port was 0."""
        if self._server is None:
            return self._address
        return f"{self._address.rpartition(':')[0]}:{self._server.port}"

    def start(self) -> None:
        """Binds the address and starts serving; raises AddressInUseError if it is taken."""
        listener = self._create_listener()
        # The server duplicates the descriptor, so the listener can be closed here.
        with listener:
            self._server = _Server(listener, self._dispatch)
        self._server.start()

    def stop(self) -> None:
        """Completes the requests in progress and closes the port."""
        if self._server is not None:
            self._server.stop()
            self._server = None

    def _create_listener(self) -> socket.socket:
        host, _, port = self._address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            return socket.create_server((host, int(port)), family=family, backlog=LISTEN_BACKLOG)
        except OSError as error:
            raise errors.AddressInUseError(
                f"cannot listen for operators on '{self._address}': {error.strerror}; "
                f"free the port or change 'addresses.operators' in the settings"
            ) from error

    @werkzeug.Request.application
    def _dispatch(self, request: werkzeug.Request) -> werkzeug.Response:
        request.max_content_length = MAX_BODY_BYTES
        page = self._pages.get((request.path, request.method))
        if page is not None:
            return page.answer(request)
        methods = [method for path, method in self._pages if path == request.path]
        if methods:
            raise exceptions.MethodNotAllowed(methods)
        accepted = ", ".join(sorted({path for path, _ in self._pages}))
        return werkzeug.Response(f"no page at '{request.path}'; accepted: {accepted}\n", 404)
