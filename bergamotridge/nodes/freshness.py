"""Port for the datagrams by which nodes tell each other how current their replicas are."""

import asyncio
import hashlib
import hmac
import socket
from collections.abc import Callable, Sequence

import attrs
import logbook
from google.protobuf import message as protobuf

from bergamotridge import errors
from bergamotridge.nodes import freshness_exchange, freshness_pb2, record, traffic
from bergamotridge.store import replica
from bergamotridge.util import addresses, clock, listening, loop

MAC_BYTES = 16
MAC_PURPOSE = b"freshness"  # Input from which the key of the codes is derived.
MAX_KEY_BYTES = 64  # Of blake2b.
MAX_WAITING_REQUESTS = 4096

_log = logbook.Logger(__name__)

OnNewerReplica = Callable[[record.UpstreamRecord, str, replica.ReplicaVersion], None]
ListSources = Callable[[], Sequence[record.UpstreamRecord]]


@attrs.frozen
class FreshnessTimings:
    """Intervals and time limits in seconds.

    Attributes:
        wait_s: Time for which an answer waits for news.
        answer_grace_s: Time added to `wait_s` within which an answer must arrive.
        min_pause_s: Shortest time between two requests.
        preferred_retry_s: Time after which a node asks its preferred source again.
    """

    wait_s: float
    answer_grace_s: float = 0.25
    min_pause_s: float = 0.05
    preferred_retry_s: float = 2.0


@attrs.define(eq=False)
class _WaitingRequest:
    """A request of another node that is answered once there is news or its wait has ended."""

    address: tuple[str, int]
    request: freshness_exchange.ReceivedRequest
    timer: asyncio.TimerHandle | None = None


class FreshnessPort(asyncio.DatagramProtocol):
    """Asks other nodes how current their replicas are, and answers such requests."""

    def __init__(
        self,
        address: str,
        secret: str,
        exchange: freshness_exchange.FreshnessExchange,
        list_sources: ListSources,
        on_newer_replica: OnNewerReplica,
        event_loop: loop.Loop,
        timings: FreshnessTimings,
        count_bytes: traffic.CountBytes = traffic.ignore_bytes,
    ) -> None:
        """Creates the port; it is opened by `start`.

        Args:
            address: IP:PORT to listen on; other nodes use the control address of the host's record.
            secret: The fleet's secret, which authenticates the datagrams.
            exchange: Builds and applies the messages.
            list_sources: Returns the nodes to ask, the preferred one first.
            on_newer_replica: Called with a node, a kind and a version of it that this node lacks.
            event_loop: The event loop that runs the port.
            timings: Intervals and time limits.
            count_bytes: Counts the bytes of the datagrams.
        """
        self._count_bytes = count_bytes
        self._address = addresses.parse(address)
        self._mac_key = hashlib.blake2b(MAC_PURPOSE, key=secret.encode()[:MAX_KEY_BYTES]).digest()
        self._exchange = exchange
        self._list_sources = list_sources
        self._on_newer_replica = on_newer_replica
        self._loop = event_loop
        self._timings = timings
        self._rotation = freshness_exchange.SourceRotation(timings.preferred_retry_s)
        self._results: dict[int, asyncio.Future[freshness_exchange.AnswerResult]] = {}
        self._waiting: list[_WaitingRequest] = []
        self._asyncio_loop: asyncio.AbstractEventLoop | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._polling: asyncio.Task | None = None

    def start(self, bound: socket.socket | None = None) -> None:
        """Opens the port and starts to ask other nodes.

        Args:
            bound: Socket for datagrams bound to the address; if None, the address is bound.

        Raises:
            AddressUnavailableError: The address can't be bound.
        """
        endpoint = listening.Endpoint(
            str(self._address), "datagrams", "'addresses.control'", socket.SOCK_DGRAM
        )
        self._loop.run(self._open(bound or endpoint.bind()))

    def stop(self) -> None:
        """Closes the port."""
        self._loop.call(self._close)

    def notify_progress(self) -> None:
        """Answers the requests that waited for news; may be called from any thread."""
        if self._asyncio_loop is not None:
            self._asyncio_loop.call_soon_threadsafe(self._answer_waiting_requests)

    async def _open(self, bound: socket.socket) -> None:
        event_loop = asyncio.get_running_loop()
        await event_loop.create_datagram_endpoint(lambda: self, sock=bound)
        self._asyncio_loop = event_loop
        self._polling = event_loop.create_task(self._poll_sources())

    def _close(self) -> None:
        if self._polling is not None:
            self._polling.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport; called by the event loop."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles one datagram; called by the event loop."""
        self._count_bytes("freshness", 0, len(data))
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            _log.debug("datagram from {} has no valid code of this fleet", addr)
            return
        try:
            received = freshness_pb2.FreshnessMessage.FromString(body)
        except protobuf.DecodeError as error:
            _log.debug("datagram from {} is malformed: {}", addr, error)
            return
        if received.is_answer:
            self._handle_answer(received)
        else:
            self._handle_request(received, addr)

    async def _poll_sources(self) -> None:
        """Asks other nodes, one request after another, until cancelled."""
        while True:
            await asyncio.sleep(self._timings.min_pause_s)
            try:
                await self._poll_next_source()
            except Exception:
                _log.exception("asking another node how current it is failed")
                await asyncio.sleep(self._timings.wait_s)

    async def _poll_next_source(self) -> None:
        source = self._rotation.choose(self._list_sources(), clock.boot_time())
        if source is None:
            await asyncio.sleep(self._timings.wait_s)
            return
        progressed = False
        try:
            progressed = await self._poll(source)
        finally:
            self._rotation.record_result(progressed, clock.boot_time())

    async def _poll(self, source: record.UpstreamRecord) -> bool:
        """Asks one node and applies its answer; returns whether that brought progress.

        Raises:
            MalformedEntryError: The node's address is not one to which this port can send.
        """
        address = addresses.parse(source.control_address)
        if address.family != self._address.family:
            raise errors.MalformedEntryError(
                f"host '{source.host}' has the address {address}, which is of another family than "
                f"{self._address}; correct the address in its settings"
            )
        request = self._exchange.build_request(self._timings.wait_s, clock.boot_time())
        waiter = self._results[request.request_id] = self._asyncio_loop.create_future()
        try:
            self._send(request, address.pair)
            time_limit_s = self._timings.wait_s + self._timings.answer_grace_s
            result = await asyncio.wait_for(waiter, time_limit_s)
        except TimeoutError:
            return False
        finally:
            self._exchange.end_request(request.request_id)
            self._results.pop(request.request_id)
        for item in result.newer_replicas:
            self._on_newer_replica(source, item.kind, item.version)
        return result.progressed

    def _handle_answer(self, message: freshness_pb2.FreshnessMessage) -> None:
        result = self._exchange.apply_answer(message, clock.boot_time())
        if result is None:
            _log.debug("answer {} has no request that waits for it", message.request_id)
            return
        waiter = self._results[message.request_id]
        if not waiter.done():
            waiter.set_result(result)

    def _handle_request(
        self, message: freshness_pb2.FreshnessMessage, address: tuple[str, int]
    ) -> None:
        waiting = _WaitingRequest(
            address, self._exchange.receive_request(message, clock.boot_time())
        )
        if self._exchange.has_news(waiting.request) or len(self._waiting) >= MAX_WAITING_REQUESTS:
            self._answer(waiting)
            return
        self._waiting.append(waiting)
        wait_s = min(waiting.request.wait_s, self._timings.wait_s)
        waiting.timer = self._asyncio_loop.call_later(wait_s, self._end_wait, waiting)

    def _answer_waiting_requests(self) -> None:
        for waiting in [item for item in self._waiting if self._exchange.has_news(item.request)]:
            waiting.timer.cancel()
            self._end_wait(waiting)

    def _end_wait(self, waiting: _WaitingRequest) -> None:
        self._waiting.remove(waiting)
        self._answer(waiting)

    def _answer(self, waiting: _WaitingRequest) -> None:
        self._send(self._exchange.build_answer(waiting.request, clock.boot_time()), waiting.address)

    def _send(self, message: freshness_pb2.FreshnessMessage, address: tuple[str, int]) -> None:
        body = message.SerializeToString()
        self._count_bytes("freshness", MAC_BYTES + len(body), 0)
        self._transport.sendto(self._mac(body) + body, address)

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._mac_key, digest_size=MAC_BYTES).digest()
