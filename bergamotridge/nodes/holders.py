"""Choice of the hosts that hold a team's quota, by rendezvous hashing (Thaler, Ravishankar, 1998).

Nodes that know the same members choose the same holders. Where they differ for a while, some draws
go to a host that holds nothing and are sent elsewhere; the rates stay exact.
"""

import math
from collections.abc import Mapping, Sequence

import xxhash

from bergamotridge.nodes import record
from bergamotridge.operators import text
from bergamotridge.store import quota

HOLDERS_PER_DOMAIN = 2
NODES_PER_HOLDER = 20


def _weight(*parts: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def choose(
    team: text.Team,
    members: Sequence[record.UpstreamRecord],
    per_domain: int = HOLDERS_PER_DOMAIN,
) -> Mapping[str, Sequence[record.UpstreamRecord]]:
    """Returns the hosts that should hold a team's quota, by failure domain.

    A large failure domain has more than `per_domain`, so that no holder serves too many nodes. A
    small burst has fewer holders, in fewer failure domains if need be, so that each can hold
    whole tokens.
    """
    domains: dict[str, list[record.UpstreamRecord]] = {}
    for member in members:
        if member.state not in (record.State.DRAINING, record.State.LOST):
            domains.setdefault(member.failure_domain, []).append(member)
    most = max(1, int(team.burst / quota.MIN_TOKENS))
    names = sorted(domains, key=lambda name: _weight(team.name, "domain", name))[:most]
    return {name: _first(team, domains[name], per_domain, most // len(names)) for name in names}


def _first(
    team: text.Team, members: Sequence[record.UpstreamRecord], least: int, most: int
) -> list[record.UpstreamRecord]:
    count = min(most, max(least, math.ceil(len(members) / NODES_PER_HOLDER)))
    return sorted(members, key=lambda member: _weight(team.name, member.host))[:count]


def draw_order(
    team: text.Team,
    chosen: Mapping[str, Sequence[record.UpstreamRecord]],
    host: str,
    failure_domain: str,
) -> list[record.UpstreamRecord]:
    """Returns the holders in the order in which a host draws from them.

    Those of its own failure domain come first; hosts differ in the rest of the order, so that
    their draws spread over the holders.
    """

    def key(member: record.UpstreamRecord) -> tuple[bool, int]:
        near = member.failure_domain == failure_domain
        return (not near, _weight(team.name, host, member.host))

    members = [member for group in chosen.values() for member in group if member.host != host]
    return sorted(members, key=key)
