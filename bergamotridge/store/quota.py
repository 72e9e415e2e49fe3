"""The object that divides a team's rate and burst among its holders.

The parts of all shares sum to at most `PARTS`. A share is changed by its own holder only, with two
exceptions: a new process on the same host takes over its predecessor's share, and anyone removes a
share whose lease has lapsed. All changes are conditional on the version that was read.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from bergamotridge import errors

KIND = "quota"
PARTS = 1_000_000
FLOOR_FRACTION = 0.25
MIN_TOKENS = 2.0
LENT_SHARE = 0.75  # What is left lets a new process serve while old loans may be spent.
LEAST_LENT = 1.0


@attrs.frozen
class Share:
    """One holder's share.

    Attributes:
        host: Host of the holder.
        incarnation: Start time of the holder's process in milliseconds.
        failure_domain: Failure domain of the host.
        parts: Fraction of rate and burst, in units of 1 / PARTS.
        renewals: Counts the holder's writes; a change proves that the holder was alive.
        demand: Calls per second that ask for tokens in the holder's reach.
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
    def free(self) -> int:
        """Parts that no holder has."""
        return PARTS - sum(share.parts for share in self.shares)

    def find(self, host: str) -> Share | None:
        """Returns the share of a host, or None."""
        return next((share for share in self.shares if share.host == host), None)

    def without(self, hosts: Iterable[str]) -> "Quota":
        """Returns this quota without the shares of some hosts."""
        gone = set(hosts)
        return Quota(tuple(share for share in self.shares if share.host not in gone))

    def replace(self, share: Share) -> "Quota":
        """Returns this quota with the share of one host added or exchanged."""
        return Quota((*self.without([share.host]).shares, share))


def lendable(burst: float) -> float:
    """Returns the tokens of a holder's burst that may be lent to other nodes at once."""
    return min(burst, max(LEAST_LENT, LENT_SHARE * burst))


def encode(quota: Quota) -> dict[str, object]:
    """Returns the JSON form of a quota."""
    return attrs.asdict(quota)


def decode(value: object) -> Quota:
    """Returns the quota that `encode` wrote; raises PlatformError on anything else."""
    try:
        quota = Quota(tuple(Share(**share) for share in value["shares"]))
        valid = quota.free >= 0 and all(share.parts >= 0 for share in quota.shares)
    except (TypeError, KeyError) as error:
        raise errors.PlatformError(f"the quota object is malformed: {error}") from error
    if not valid:
        raise errors.PlatformError("the shares of the quota object sum to more than the whole")
    return quota


def targets(quota: Quota, burst: float) -> Mapping[str, int]:
    """Returns the parts that each holder should have, by host.

    Every holder gets a floor that holds whole tokens where the burst allows it; the rest follows
    demand.
    """
    count = len(quota.shares)
    if not count:
        return {}
    whole_tokens = min(PARTS, math.ceil(PARTS * MIN_TOKENS / max(burst, 1.0)))
    floor = min(PARTS // count, max(int(PARTS * FLOOR_FRACTION / count), whole_tokens))
    rest = PARTS - floor * count
    total = sum(share.demand for share in quota.shares)
    if total <= 0.0:
        return {share.host: PARTS // count for share in quota.shares}
    return {share.host: floor + int(rest * share.demand / total) for share in quota.shares}
