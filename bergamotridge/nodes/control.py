"""The gRPC port for control messages between nodes, and the channels to other nodes' ports."""

import collections
import hashlib
import hmac
import threading
from collections.abc import Callable, Sequence
from concurrent import futures
from typing import Protocol

import grpc

from bergamotridge import errors

TOKEN_KEY = "bergamotridge-token"
SERVER_THREADS = 4
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
MAX_CHANNELS = 24

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)
# Without port reuse, binding fails while an earlier process of this node still has the port, so a
# bound port proves that the earlier process has ended.
_SERVER_OPTIONS = (*_OPTIONS, ("grpc.so_reuseport", 0))
_CHANNEL_OPTIONS = (
    *_OPTIONS,
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.enable_http_proxy", 0),
)


class ControlService(Protocol):
    """A gRPC service that is offered on the control port."""

    def register(self, server: grpc.Server) -> None:
        """Adds the service to a server that has not started."""


class _TokenCheck(grpc.ServerInterceptor):
    """Rejects calls without the token that is derived from the fleet's secret."""

    def __init__(self, token: str) -> None:
        self._token = token
        self._refusal = grpc.unary_unary_rpc_method_handler(
            lambda _, context: context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "the fleet token is missing or wrong: configure the same fleet_secret on all nodes",
            )
        )

    def intercept_service(
        self,
        continuation: Callable[[grpc.HandlerCallDetails], grpc.RpcMethodHandler],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler:
        for key, value in handler_call_details.invocation_metadata:
            if key == TOKEN_KEY and hmac.compare_digest(value, self._token):
                return continuation(handler_call_details)
        return self._refusal


class _TokenSender(grpc.UnaryUnaryClientInterceptor):
    """Adds the fleet's token to each call."""

    def __init__(self, token: str) -> None:
        self._metadata = ((TOKEN_KEY, token),)

    def intercept_unary_unary(
        self,
        continuation: Callable[[grpc.ClientCallDetails, object], grpc.Call],
        client_call_details: grpc.ClientCallDetails,
        request: object,
    ) -> grpc.Call:
        details = client_call_details._replace(metadata=self._metadata)
        return continuation(details, request)


class ControlServer:
    """gRPC server of the control port."""

    def __init__(self, address: str, secret: str, services: Sequence[ControlService]) -> None:
        """Binds the port.

        Args:
            address: IP:PORT to listen on.
            secret: The fleet's secret; calls without the token derived from it are rejected.
            services: Services to offer.

        Raises:
            AddressInUseError: Another process holds the port.
        """
        self._server = grpc.server(
            futures.ThreadPoolExecutor(SERVER_THREADS, "control"),
            interceptors=(_TokenCheck(_derive_token(secret)),),
            options=_SERVER_OPTIONS,
        )
        for service in services:
            service.register(self._server)
        try:
            self._port = self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise errors.AddressInUseError(
                f"cannot listen on {address}: {error}; free the port or configure another address"
            ) from error
        if self._port == 0:
            raise errors.AddressInUseError(
                f"cannot listen on {address}; free the port or configure another address"
            )

    @property
    def port(self) -> int:
        """The port that was bound."""
        return self._port

    def start(self) -> None:
        """Starts serving calls."""
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Rejects new calls, lets running ones finish within `grace_s` seconds, closes the port."""
        self._server.stop(grace_s).wait()


class ChannelPool:
    """Open channels to other nodes; beyond a maximum, the least recently used one is closed."""

    def __init__(self, secret: str, max_channels: int = MAX_CHANNELS) -> None:
        """Starts without channels.

        Args:
            secret: The fleet's secret, from which the token of each call is derived.
            max_channels: Maximum number of channels, each of which uses memory and a socket.
        """
        self._sender = _TokenSender(_derive_token(secret))
        self._max_channels = max_channels
        self._lock = threading.Lock()
        self._channels: collections.OrderedDict[str, tuple[grpc.Channel, grpc.Channel]] = (
            collections.OrderedDict()
        )

    def channel(self, address: str) -> grpc.Channel:
        """Returns the channel to an address, which is opened on first use."""
        with self._lock:
            pair = self._channels.get(address)
            if pair is None:
                plain = grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)
                pair = self._channels[address] = (plain, self._with_token(plain))
            self._channels.move_to_end(address)
            evicted = self._evict()
        if evicted is not None:
            evicted.close()
        return pair[1]

    def close(self) -> None:
        """Closes all channels; calls in flight are cancelled."""
        with self._lock:
            pairs = list(self._channels.values())
            self._channels.clear()
        for plain, _ in pairs:
            plain.close()

    def _with_token(self, plain: grpc.Channel) -> grpc.Channel:
        return grpc.intercept_channel(plain, self._sender)

    def _evict(self) -> grpc.Channel | None:
        if len(self._channels) <= self._max_channels:
            return None
        _, (plain, _) = self._channels.popitem(last=False)
        return plain


def _derive_token(secret: str) -> str:
    """Returns the token that proves knowledge of the secret, so that the secret is never sent."""
    return hmac.digest(secret.encode(), b"control", hashlib.sha256).hex()
