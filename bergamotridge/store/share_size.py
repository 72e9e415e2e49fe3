"""Decides how large a host's share of a team's quota should be."""

import attrs

from bergamotridge.store import quota

MAX_CUT_FRACTION = 0.25  # Of the share held.
MIN_CUT_FRACTION = 0.15  # Of the mean share; smaller cuts are not worth a write.
MIN_RAISE_FRACTION = 0.05  # Of the mean share.
MIN_DEMAND_CHANGE_FRACTION = 0.5  # Of the demand last written.
# Of the share held: a holder that has said that it needs more withdraws this when it needs less.
COVERED_FRACTION = 0.8


@attrs.frozen
class DecisionInputs:
    """Inputs of a decision about a share, besides the quota object.

    Attributes:
        chosen: Whether this host is chosen as a holder.
        holders: Number of holders that the fleet should have.
        rate: Rate of the team in the configuration in force, in calls per second.
        burst: Burst of the team in the configuration in force, in tokens.
        lent: Tokens that other nodes have drawn ahead from this host and may still spend.
        demand: Calls per second that ask this host for tokens, from its own node and from nodes
            that draw tokens from it.
        lent_to_waiting: Tokens that this host lent for calls which wait at other nodes, and that
            may still be spent.
    """

    chosen: bool
    holders: int
    rate: float
    burst: float
    lent: int
    demand: float
    lent_to_waiting: int = 0


def next_parts(
    live_quota: quota.Quota,
    candidate: quota.Share,
    host_share: quota.Share | None,
    decision_inputs: DecisionInputs,
) -> int:
    """Returns the parts that a host should have next.

    Args:
        live_quota: The quota without shares whose leases have ended.
        candidate: The host's share with its demand of now, if it keeps its parts.
        host_share: The host's share in the quota, None if it has none.
        decision_inputs: What else the decision depends on.
    """
    if not decision_inputs.chosen:
        return 0
    held_parts = host_share.parts if host_share else 0
    current = live_quota.replace(candidate)
    targets = quota.target_parts(current, decision_inputs.rate, decision_inputs.burst)
    target = targets[candidate.host]
    max_raise = _max_raise(live_quota, host_share, decision_inputs.holders)
    # Holders know the demand of others only as last written, so their targets may sum to less
    # than the whole. A part of what is free is therefore taken beyond the target.
    unclaimed = held_parts + max_raise // len(current.shares) if host_share else held_parts
    if max(target, unclaimed) >= held_parts + 1:
        return max(unclaimed, min(target, held_parts + max_raise))
    mean_parts = quota.PARTS / len(current.shares)
    others_short = [
        share
        for share in live_quota.shares
        if share.host != candidate.host
        and _is_short(share, targets[share.host], mean_parts, decision_inputs.rate)
    ]
    if not others_short or held_parts - target < MIN_CUT_FRACTION * mean_parts:
        return held_parts
    if any(share.parts == 0 for share in others_short):
        return target
    return max(target, int(held_parts * (1.0 - MAX_CUT_FRACTION)))


def loans_exceed(parts: int, decision_inputs: DecisionInputs) -> bool:
    """Returns whether more tokens are on loan than a share of `parts` may lend."""
    burst = parts * decision_inputs.burst / quota.PARTS
    lent = decision_inputs.lent + decision_inputs.lent_to_waiting
    return decision_inputs.lent > quota.lendable_tokens(burst) or lent > burst


def _is_short(share: quota.Share, target: int, mean_parts: float, rate: float) -> bool:
    """Returns whether a holder lacks parts that it should have and needs for its demand."""
    needed = max(quota.needed_parts(share.demand, rate), 1)
    return min(needed, target) - share.parts > MIN_RAISE_FRACTION * mean_parts or not share.parts


def demand_is_due(own: quota.Share, demand: float, rate: float) -> bool:
    """Returns whether the other holders have to learn of this holder's demand.

    They make room for a holder whose written demand exceeds its share. The demand of one whose
    share suffices changes nothing, so it is not written.
    """
    needed = quota.needed_parts(demand, rate)
    if needed > own.parts:
        return abs(demand - own.demand) > max(1.0, MIN_DEMAND_CHANGE_FRACTION * own.demand)
    is_written_as_short = quota.needed_parts(own.demand, rate) > own.parts
    return is_written_as_short and needed < COVERED_FRACTION * own.parts


def _max_raise(live_quota: quota.Quota, host_share: quota.Share | None, holders: int) -> int:
    """Returns the number of parts by which a host may raise its share.

    Free parts are reserved for holders that have yet to join. If one host took them all, to give
    them back as others join, they would be lost if that host failed during an outage of the
    platform.
    """
    equal_share = quota.PARTS // max(1, holders)
    if host_share is None:
        return min(live_quota.free_parts, equal_share)
    return max(0, live_quota.free_parts - equal_share * max(0, holders - len(live_quota.shares)))
