"""gRPC client and service with which nodes draw quota tokens from holders."""

from collections.abc import Callable
from typing import Protocol

import grpc

from bergamotridge import errors
from bergamotridge.nodes import quota_pb2, quota_pb2_grpc, traffic


class Channels(Protocol):
    """Channels to the control ports of other nodes."""

    def channel(self, address: str) -> grpc.Channel:
        """Returns the channel to an address, IP:PORT."""


class Transport(Protocol):
    """Sends a draw to a holder."""

    def draw(
        self, address: str, request: quota_pb2.DrawRequest, timeout_s: float
    ) -> quota_pb2.DrawResponse:
        """Returns the holder's answer; raises UnreachableError if there is none in time."""


class UnreachableError(errors.BergamotridgeError):
    """A holder did not answer a draw; it may have granted tokens nevertheless."""


class QuotaClient:
    """Sends draws over gRPC."""

    def __init__(
        self, channels: Channels, count_bytes: traffic.CountBytes = traffic.ignore_bytes
    ) -> None:
        """Uses the given channels and counts the bytes of the draws."""
        self._channels = channels
        self._count_bytes = count_bytes

    def draw(
        self, address: str, request: quota_pb2.DrawRequest, timeout_s: float
    ) -> quota_pb2.DrawResponse:
        """Sends one draw; see `Transport`."""
        stub = quota_pb2_grpc.QuotaStub(self._channels.channel(address))
        try:
            response = stub.Draw(request, timeout=timeout_s)
        except (grpc.RpcError, ValueError) as error:
            # gRPC raises ValueError for a call on a channel that was closed.
            raise UnreachableError(
                f"the holder at {address} did not answer a draw: {error}; "
                "check that its node runs and that its control port is reachable"
            ) from error
        self._count_bytes("draw", request.ByteSize(), response.ByteSize())
        return response


class QuotaService(quota_pb2_grpc.QuotaServicer):
    """gRPC service that passes each draw to a handler."""

    def __init__(self, handler: Callable[[quota_pb2.DrawRequest], quota_pb2.DrawResponse]) -> None:
        """Uses the given handler for each draw."""
        self._handler = handler

    def Draw(  # noqa: N802
        self, request: quota_pb2.DrawRequest, context: grpc.ServicerContext
    ) -> quota_pb2.DrawResponse:
        """Answers one draw."""
        del context
        return self._handler(request)

    def register(self, server: grpc.Server) -> None:
        """Adds this service to a server that has not started."""
        quota_pb2_grpc.add_QuotaServicer_to_server(self, server)
