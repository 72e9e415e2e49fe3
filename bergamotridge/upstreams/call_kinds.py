"""Two kinds of calls that share one upstream: direct and unattributed ones."""

import enum

import attrs

from bergamotridge import call


class Kind(enum.IntEnum):
    """Whether a call names the request that it belongs to."""

    DIRECT = 0
    UNATTRIBUTED = 1


# Weights by which the kinds divide an upstream that can't run all their calls. Direct calls are
# guaranteed a quarter: five times what the reports of the deployments designed for need at the
# service that all call trees go through. The other kind weighs more, as the requests above its
# calls have already cost work.
WEIGHTS = {Kind.DIRECT: 1.0, Kind.UNATTRIBUTED: 3.0}


def kind_of(context: call.CallContext) -> Kind:
    """Returns the kind of a call.

    A call that names its request counts as direct at any depth, as its class is known.
    """
    return Kind.UNATTRIBUTED if context.unattributed else Kind.DIRECT


def guaranteed_fraction(kind: Kind) -> float:
    """Returns the part of an upstream that a kind gets if it demands that much."""
    return WEIGHTS[kind] / sum(WEIGHTS.values())


@attrs.frozen
class KindsReport:
    """How an upstream is divided between the kinds.

    Attributes:
        unattributed_share: Share of unattributed calls that its gate admits, 0.0 to 1.0.
        rejected_fraction: Smoothed fraction of calls that it rejected without running them.
        direct_waiting: Number of waiting direct calls; all calls if kinds are not told apart.
        unattributed_waiting: Number of waiting unattributed calls.
    """

    unattributed_share: float = 1.0
    rejected_fraction: float = 0.0
    direct_waiting: int = 0
    unattributed_waiting: int = 0
