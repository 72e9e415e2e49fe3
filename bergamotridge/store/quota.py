"""The quota object of a team, which divides the team's rate and burst among its holders.

A holder is a host that has a share. The parts of all shares sum to at most `PARTS`. Only the holder
of a share changes it, with two exceptions: a new process on the same host takes over the share of
its predecessor, and any host may remove a share whose lease has expired. All changes are
conditional on the version that was read.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from bergamotridge import errors

KIND = "quota"
PARTS = 1_000_000  # Units into which the whole rate and burst of a team are divided.
FLOOR_FRACTION = 0.25  # Of an equal share; every holder gets at least this.
MIN_TOKENS_PER_HOLDER = 2.0  # Tokens of burst that every share should hold.
# Of the burst of a share. The rest lets a new process on the host serve calls while tokens that its
# predecessor lent may still be spent.
MAX_LENT_FRACTION = 0.75
MIN_LENDABLE_TOKENS = 1.0


@attrs.frozen
class Share:
    """One holder's share of a team's rate and burst.

    Attributes:
        host: Host of the holder.
        incarnation: Start time of the holder's process in milliseconds.
        failure_domain: Failure domain of the host.
        parts: Fraction of the team's rate and burst, in units of 1 / PARTS.
        renewals: Number of writes of this share by its holder; a change shows that the holder was
            alive.
        demand: Calls per second that ask this holder for tokens, from its own node and from nodes
            that draw tokens from it.
    """

    host: str
    incarnation: int
    failure_domain: str
    parts: int
    renewals: int
    demand: float


@attrs.frozen
class Quota:
    """All shares of one team's rate and burst."""

    shares: tuple[Share, ...] = ()

    @property
    def free_parts(self) -> int:
        """Parts that belong to no share."""
        return PARTS - sum(share.parts for share in self.shares)

    def find(self, host: str) -> Share | None:
        """Returns the share of a host, or None if it has none."""
        return next((share for share in self.shares if share.host == host), None)

    def without(self, hosts: Iterable[str]) -> "Quota":
        """Returns a copy of this quota without the shares of the given hosts."""
        removed = set(hosts)
        return Quota(tuple(share for share in self.shares if share.host not in removed))

    def replace(self, share: Share) -> "Quota":
        """Returns a copy of this quota with the share of one host added or replaced."""
        return Quota((*self.without([share.host]).shares, share))


def lendable_tokens(burst: float) -> float:
    """Returns how many tokens of a holder's burst may be on loan to other nodes at a time."""
    return min(burst, max(MIN_LENDABLE_TOKENS, MAX_LENT_FRACTION * burst))


def encode(quota: Quota) -> dict[str, object]:
    """Returns the JSON form of a quota."""
    return attrs.asdict(quota)


def decode(value: object) -> Quota:
    """Returns the quota of a JSON form from `encode`; raises PlatformError if it is malformed."""
    try:
        quota = Quota(tuple(Share(**share) for share in value["shares"]))
        valid = quota.free_parts >= 0 and all(share.parts >= 0 for share in quota.shares)
    except (TypeError, KeyError) as error:
        raise errors.PlatformError(
            f"the quota object is malformed, check which process wrote it: {error}"
        ) from error
    if not valid:
        raise errors.PlatformError(
            "the quota object has a negative share or shares that sum to more than the whole; "
            "check which process wrote it"
        )
    return quota


def target_parts(quota: Quota, burst: float) -> Mapping[str, int]:
    """Returns the parts that each holder should have, by host.

    Every holder gets a floor: FLOOR_FRACTION of an equal share, or more if that is not enough for
    `MIN_TOKENS_PER_HOLDER` tokens of burst, but never more than an equal share. The rest is divided
    in proportion to demand.

    Args:
        quota: The current shares, with the demand of each holder.
        burst: Burst of the whole team in tokens.
    """
    holder_count = len(quota.shares)
    if not holder_count:
        return {}
    parts_of_min_tokens = min(PARTS, math.ceil(PARTS * MIN_TOKENS_PER_HOLDER / max(burst, 1.0)))
    floor = min(
        PARTS // holder_count, max(int(PARTS * FLOOR_FRACTION / holder_count), parts_of_min_tokens)
    )
    rest = PARTS - floor * holder_count
    total_demand = sum(share.demand for share in quota.shares)
    if total_demand <= 0.0:
        return {share.host: PARTS // holder_count for share in quota.shares}
    return {share.host: floor + int(rest * share.demand / total_demand) for share in quota.shares}
