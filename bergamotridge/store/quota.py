"""Quotas of teams: each divides the rate and burst of one team among its holders.

A holder is a host that has a share. The parts of all shares sum to at most `PARTS`. Only the holder
of a share changes it, with two exceptions: a new process on the same host takes over the share of
its predecessor, and any host may remove a share whose lease has expired.

One platform object stores the quotas of a whole group of teams, so that the number of requests to
the platform does not grow with the number of teams. All changes are conditional on the version of
the object that was read.

The object names the epoch of the platform's store in which it was written. If the store was
restored since then, its shares may no longer be those in use. All parts of such a quota are
reserved: each holder takes out the share that it knows to have, and what is left stays reserved
for as long as a holder that has not heard of the restoration may use it.
"""

import math
from collections.abc import Iterable, Mapping

import attrs
import xxhash

from bergamotridge import errors
from bergamotridge.store import position
from bergamotridge.util import excerpt, fields

KIND = "quota-groups"
RESERVED_HOST = ""  # Stands for unknown holders in the stored form.
PARTS = 1_000_000  # Units into which the whole rate and burst of a team are divided.
FLOOR_FRACTION = 0.25  # Of an equal share; every holder gets at least this.
MIN_TOKENS_PER_HOLDER = 2.0  # Tokens of burst that every share should hold.
# Rate that a holder needs, relative to its recent demand. The rest absorbs the variation of the
# demand until the shares are adjusted again.
NEED_FACTOR = 1.5
# Of the burst of a share. The rest lets a new process on the host serve calls while tokens that its
# predecessor lent may still be spent.
MAX_LENT_FRACTION = 0.75
MIN_LENDABLE_TOKENS = 1.0
MAX_DEMAND_PER_S = 1e12


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
    """All shares of one team's rate and burst.

    Attributes:
        shares: The shares of known holders.
        reserved: Parts that holders may use whose shares were lost in a restoration of the store;
            a share without a holder, whose incarnation and renewals tell one restoration from
            another. None if there is none.
    """

    shares: tuple[Share, ...] = ()
    reserved: Share | None = None

    @property
    def all_shares(self) -> tuple[Share, ...]:
        """The shares of known holders and the reserved one."""
        return self.shares if self.reserved is None else (*self.shares, self.reserved)

    @property
    def restoration(self) -> tuple[int, int] | None:
        """What tells the restoration of the reserved parts from others, None without such parts."""
        return (self.reserved.incarnation, self.reserved.renewals) if self.reserved else None

    @property
    def free_parts(self) -> int:
        """Parts that belong to no share."""
        return PARTS - sum(share.parts for share in self.all_shares)

    def find(self, host: str) -> Share | None:
        """Returns the share of a host, or None if it has none."""
        return next((share for share in self.shares if share.host == host), None)

    def without(self, hosts: Iterable[str]) -> "Quota":
        """Returns a copy of this quota without the shares of the given hosts."""
        removed = set(hosts)
        kept = tuple(share for share in self.shares if share.host not in removed)
        return Quota(kept, None if RESERVED_HOST in removed else self.reserved)

    def replace(self, share: Share) -> "Quota":
        """Returns a copy of this quota with the share of one host added or replaced."""
        return Quota((*self.without([share.host]).shares, share), self.reserved)

    def take_out(self, share: Share) -> "Quota":
        """Returns a copy with a holder's share taken out of the reserved parts, if they suffice."""
        reserved_parts = self.reserved.parts if self.reserved else 0
        taken = attrs.evolve(share, parts=min(share.parts, reserved_parts))
        rest = reserved_parts - taken.parts
        reserved = attrs.evolve(self.reserved, parts=rest) if rest else None
        return Quota((*self.without([share.host]).shares, taken), reserved)


@attrs.frozen
class Group:
    """The stored quotas of a group of teams.

    Attributes:
        quotas: The quotas by team.
        epoch: Epoch of the store in which they were written, None if an earlier release wrote them.
    """

    quotas: Mapping[str, Quota] = attrs.field(factory=dict)
    epoch: int | None = None


def reserve_all(read_at: position.Position) -> Quota:
    """Returns a quota of which all parts are reserved.

    Args:
        read_at: Position of the object that was written before a restoration of the store.
    """
    return Quota((), Share(RESERVED_HOST, read_at.epoch, "", PARTS, read_at.revision, 0.0))


def lendable_tokens(burst: float) -> float:
    """Returns how many tokens of a holder's burst may be on loan to other nodes at a time."""
    return min(burst, max(MIN_LENDABLE_TOKENS, MAX_LENT_FRACTION * burst))


def group_name(team: str, groups: int) -> str:
    """Returns the name of the object that stores a team's quota.

    Args:
        team: Name of the team.
        groups: Number of groups into which the fleet divides its teams.
    """
    return f"group-{xxhash.xxh3_64_intdigest(team.encode()) % groups}"


def encode_group(group: Group) -> dict[str, object]:
    """Returns the JSON form of the quotas of a group.

    The values of each share are listed in the order of the attributes of `Share`.
    """
    return {
        "teams": {
            team: [list(attrs.astuple(share)) for share in quota.all_shares]
            for team, quota in group.quotas.items()
        },
        "epoch": group.epoch,
    }


def decode_group(value: object) -> Group:
    """Returns the group of a value that `encode_group` returned.

    Raises:
        MalformedObjectError: The value is malformed, or the shares of a team sum to more than the
            whole.
    """
    try:
        table = fields.table("the value", value)
        teams = fields.table("'teams'", table.get("teams"))
        quotas = {team: _decode_quota(shares) for team, shares in teams.items()}
        epoch = table.get("epoch")
        if epoch is not None:
            fields.whole_number("epoch", epoch, 0, fields.MAX_INTEGER)
    except errors.MalformedEntryError as error:
        raise errors.MalformedObjectError(
            f"the quota object is malformed, check which process wrote it: {error}"
        ) from error
    return Group(quotas, epoch)


def _decode_quota(items: object) -> Quota:
    if not isinstance(items, list):
        raise errors.MalformedEntryError(f"the shares of a team are {excerpt.quote(items)}")
    shares = [_decode_share(item) for item in items]
    if len({share.host for share in shares}) < len(shares):
        raise errors.MalformedEntryError("a host has two shares of one team")
    reserved = next((share for share in shares if share.host == RESERVED_HOST), None)
    quota = Quota(tuple(share for share in shares if share.host != RESERVED_HOST), reserved)
    if quota.free_parts < 0:
        raise errors.MalformedEntryError("the shares of a team sum to more than the whole")
    return quota


def _decode_share(item: object) -> Share:
    if not isinstance(item, list) or len(item) != len(attrs.fields(Share)):
        raise errors.MalformedEntryError(f"a share is {excerpt.quote(item)}")
    host, incarnation, failure_domain, parts, renewals, demand = item
    min_length = int(host != RESERVED_HOST)
    return Share(
        host=fields.text("host", host, min_length=min_length),
        incarnation=fields.whole_number("incarnation", incarnation, 0, fields.MAX_START_MS),
        failure_domain=fields.text("failure_domain", failure_domain, min_length=min_length),
        parts=fields.whole_number("parts", parts, 0, PARTS),
        renewals=fields.whole_number("renewals", renewals, 0, fields.MAX_INTEGER),
        demand=fields.number("demand", demand, 0.0, MAX_DEMAND_PER_S),
    )


def needed_parts(demand: float, rate: float) -> int:
    """Returns the parts that cover a demand with a reserve; may exceed the whole.

    Args:
        demand: Calls per second.
        rate: Rate of the whole team in calls per second.
    """
    return math.ceil(PARTS * NEED_FACTOR * demand / rate)


def target_parts(quota: Quota, rate: float, burst: float) -> Mapping[str, int]:
    """Returns the parts that each holder should have, by host.

    Every holder gets a floor: FLOOR_FRACTION of an equal share, or more if that is not enough for
    `MIN_TOKENS_PER_HOLDER` tokens of burst, but never more than an equal share. If the whole covers
    what all holders need, each gets that and an equal part of the rest. Otherwise what is left
    above the floors is divided in proportion to the needs above the floors.

    Args:
        quota: The current shares, with the demand of each holder.
        rate: Rate of the whole team in calls per second.
        burst: Burst of the whole team in tokens.
    """
    holder_count = len(quota.shares)
    if not holder_count:
        return {}
    parts_of_min_tokens = min(PARTS, math.ceil(PARTS * MIN_TOKENS_PER_HOLDER / max(burst, 1.0)))
    floor = min(
        PARTS // holder_count, max(int(PARTS * FLOOR_FRACTION / holder_count), parts_of_min_tokens)
    )
    above_floor = {
        share.host: max(0, needed_parts(share.demand, rate) - floor) for share in quota.shares
    }
    rest = PARTS - floor * holder_count
    total = sum(above_floor.values())
    if total <= rest:
        spare = (rest - total) // holder_count
        return {host: floor + need + spare for host, need in above_floor.items()}
    return {host: floor + int(rest * need / total) for host, need in above_floor.items()}
