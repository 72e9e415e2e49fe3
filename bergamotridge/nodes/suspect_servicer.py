"""Messages about suspects that come from other nodes, over gRPC."""

from typing import Protocol

import grpc

from bergamotridge.nodes import suspects_pb2, suspects_pb2_grpc


class Sharing(Protocol):
    """What this node knows of suspects, and decides on their trials."""

    def share(self, message: suspects_pb2.EvidenceList) -> suspects_pb2.EvidenceList:
        """Takes in evidence from another node and returns what this node knows."""

    def decide(self, message: suspects_pb2.TrialRequest) -> suspects_pb2.TrialDecision:
        """Decides on another node's request for a trial."""

    def finish(self, message: suspects_pb2.TrialResult) -> None:
        """Ends a trial of another node."""


class Servicer(suspects_pb2_grpc.SuspectsServicer):
    """Adapter between the generated gRPC service and what a node knows of suspects."""

    def __init__(self, sharing: Sharing) -> None:
        self._sharing = sharing

    def Share(  # noqa: N802
        self, request: suspects_pb2.EvidenceList, context: grpc.ServicerContext
    ) -> suspects_pb2.EvidenceList:
        """Answers evidence with what this node knows."""
        del context
        return self._sharing.share(request)

    def RequestTrial(  # noqa: N802
        self, request: suspects_pb2.TrialRequest, context: grpc.ServicerContext
    ) -> suspects_pb2.TrialDecision:
        """Answers a request for a trial."""
        del context
        return self._sharing.decide(request)

    def FinishTrial(  # noqa: N802
        self, request: suspects_pb2.TrialResult, context: grpc.ServicerContext
    ) -> suspects_pb2.TrialReceipt:
        """Takes the end of a trial."""
        del context
        self._sharing.finish(request)
        return suspects_pb2.TrialReceipt()
