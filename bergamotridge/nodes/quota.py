"""Draws of tokens between nodes over gRPC."""

from collections.abc import Callable
from typing import Protocol

import grpc

from bergamotridge import errors
from bergamotridge.nodes import quota_pb2, quota_pb2_grpc


class Channels(Protocol):
    """Channels to the control ports of other nodes."""

    def channel(self, address: str) -> grpc.Channel:
        """Returns the channel to IP:PORT."""


class Transport(Protocol):
    """Carries a draw to a holder."""

    def draw(
        self, address: str, request: quota_pb2.DrawRequest, timeout_s: float
    ) -> quota_pb2.DrawResponse:
        """Returns the holder's answer; raises UnreachableError if there is none in time."""


class UnreachableError(errors.BergamotridgeError):
    """Another node gave no answer to a draw; it may have lent tokens nevertheless."""


class QuotaClient:
    """Draws over gRPC."""

    def __init__(self, channels: Channels) -> None:
        """Uses the given channels."""
        self._channels = channels

    def draw(
        self, address: str, request: quota_pb2.DrawRequest, timeout_s: float
    ) -> quota_pb2.DrawResponse:
        """Sends one draw; see `Transport`."""
        stub = quota_pb2_grpc.QuotaStub(self._channels.channel(address))
        try:
            return stub.Draw(request, timeout=timeout_s)
        except (grpc.RpcError, ValueError) as error:
            # gRPC raises ValueError for a call on a channel that was closed.
            raise UnreachableError(f"no answer to a draw from {address}: {error}") from error


class QuotaService(quota_pb2_grpc.QuotaServicer):
    """Answers draws with a handler."""

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
