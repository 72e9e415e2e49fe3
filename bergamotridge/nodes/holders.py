"""Choice of the hosts that hold a team's quota, by rendezvous hashing (Thaler, Ravishankar, 1998).

Nodes with the same view of the membership choose the same holders. While views differ, some draws
go to a host that holds no share of the quota and are sent to another one; the rates stay exact.
"""

import math
from collections.abc import Mapping, Sequence

import xxhash

from bergamotridge.nodes import record
from bergamotridge.operators import operator_text
from bergamotridge.store import quota

HOLDERS_PER_DOMAIN = 2
NODES_PER_HOLDER = 40


def _hash(*parts: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def rank_hosts(
    group: str, members: Sequence[record.UpstreamRecord]
) -> Mapping[str, Sequence[record.UpstreamRecord]]:
    """Returns the hosts of each failure domain in the order in which they become holders.

    Args:
        group: Name of the object that stores the quotas; all teams in it share their holders.
        members: Members of the fleet; those that are draining or lost are left out.
    """
    domains: dict[str, list[record.UpstreamRecord]] = {}
    for member in members:
        if member.state not in (record.State.DRAINING, record.State.LOST):
            domains.setdefault(member.failure_domain, []).append(member)
    return {
        name: sorted(hosts, key=lambda member: _hash(group, member.host))
        for name, hosts in domains.items()
    }


def choose_holders(
    team: operator_text.Team,
    ranked_hosts: Mapping[str, Sequence[record.UpstreamRecord]],
    per_domain: int = HOLDERS_PER_DOMAIN,
) -> Mapping[str, Sequence[record.UpstreamRecord]]:
    """Returns the hosts that should hold a team's quota, by failure domain.

    A large failure domain has more holders than `per_domain`, so that no holder serves too many
    nodes. A team with a small burst has fewer holders, in fewer failure domains if necessary, so
    that each can hold whole tokens.

    Args:
        team: Team whose quota is held.
        ranked_hosts: Hosts by failure domain, as returned by `rank_hosts` for the team's group.
        per_domain: Minimum number of holders in each failure domain, if burst and members allow.
    """
    max_holders = max(1, int(team.burst / quota.MIN_TOKENS_PER_HOLDER))
    domain_names = sorted(ranked_hosts, key=lambda name: _hash(team.name, "domain", name))
    domain_names = domain_names[:max_holders]
    return {
        name: _first_in_domain(ranked_hosts[name], per_domain, max_holders // len(domain_names))
        for name in domain_names
    }


def _first_in_domain(
    hosts: Sequence[record.UpstreamRecord], min_holders: int, max_holders: int
) -> Sequence[record.UpstreamRecord]:
    count = min(max_holders, max(min_holders, math.ceil(len(hosts) / NODES_PER_HOLDER)))
    return hosts[:count]


def draw_order(
    team: operator_text.Team,
    chosen: Mapping[str, Sequence[record.UpstreamRecord]],
    host: str,
    failure_domain: str,
) -> list[record.UpstreamRecord]:
    """Returns the holders in the order in which a host draws from them.

    Holders in the failure domain of the host come first. Within and beyond that domain the order
    differs from host to host, so that the draws are spread over the holders.

    Args:
        team: Team whose tokens are drawn.
        chosen: Holders by failure domain, as returned by `choose_holders`.
        host: Host that draws; it is left out of the order.
        failure_domain: Failure domain of that host.
    """

    def draw_rank(member: record.UpstreamRecord) -> tuple[bool, int]:
        same_domain = member.failure_domain == failure_domain
        return (not same_domain, _hash(team.name, host, member.host))

    members = [member for group in chosen.values() for member in group if member.host != host]
    return sorted(members, key=draw_rank)
