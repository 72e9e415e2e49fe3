"""Serves a fixed set of pages to operators with werkzeug's server.

Every connection carries one request and is closed after its response, so that a few worker threads
serve any number of operators.
"""

import socket
from collections.abc import Callable, Sequence
from concurrent import futures

import attrs
import logbook
import werkzeug
from werkzeug import exceptions, serving

WORKER_THREADS = 4
REQUEST_TIMEOUT_S = 5
SHUTDOWN_POLL_S = 0.1
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


class PageServer(serving.BaseWSGIServer):
    """Werkzeug's server; runs requests on a thread pool of bounded size."""

    def __init__(self, listener: socket.socket, pages: Sequence[Page]) -> None:
        """Prepares the server.

        Args:
            listener: Listening socket, which is duplicated.
            pages: The pages; no two have the same method and path.
        """
        host, port = listener.getsockname()[:2]
        super().__init__(host, port, self._dispatch, _RequestHandler, fd=listener.fileno())
        self._pages = {(page.path, page.method): page for page in pages}
        self._executor = futures.ThreadPoolExecutor(WORKER_THREADS, "operators")

    def serve(self) -> None:
        """Serves requests until `stop` is called by another thread."""
        self.serve_forever(SHUTDOWN_POLL_S)

    def stop(self) -> None:
        """Completes the requests in progress and closes the server."""
        self.shutdown()
        self._executor.shutdown(wait=True)

    def process_request(self, request: socket.socket, client_address: tuple) -> None:
        """Serves a connection on a worker thread; called by werkzeug."""
        self._executor.submit(self._serve_connection, request, client_address)

    def _serve_connection(self, request: socket.socket, client_address: tuple) -> None:
        try:
            self.finish_request(request, client_address)
        except OSError as error:
            logger.debug("connection from {} failed: {}", client_address, error)
        finally:
            self.shutdown_request(request)

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
