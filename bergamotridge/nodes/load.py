"""Load and admitted shares that an upstream's gate reports to the nodes that call it."""

import functools
from collections.abc import Mapping

import attrs
import xxhash

from bergamotridge import call, errors
from bergamotridge.util import excerpt, fields

MAX_CALLS = 1_000_000_000
DECODED_CACHE_ENTRIES = 256

Key = tuple[call.Importance, str]

# Class and team under which a threshold lists the share of calls that do not name their request.
# No team can have this name.
UNATTRIBUTED: Key = (call.Importance.SHEDDABLE, ":unattributed")
# The same for the fraction of calls that the upstream accepts, in an encoded threshold only.
_ACCEPTED: Key = (call.Importance.SHEDDABLE, ":accepted")


def request_position(request_id: str) -> float:
    """Returns the position of a request in its class, from 0.0 to below 1.0.

    A request is shed if its position is not below the admitted share. The position is a hash of
    the id, so all nodes shed the same requests.
    """
    return xxhash.xxh32_intdigest(request_id.encode()) / 2**32


@attrs.frozen
class Threshold:
    """Fraction of requests to admit, 0.0 to 1.0, by class and team.

    Attributes:
        defaults: Share of each class, for the teams that `shares` does not list.
        shares: Shares of single teams, by (class, team).
        accepted: Fraction of calls that the upstream accepts; the others it rejects whatever its
            load. No class or team is shed for it.
    """

    defaults: tuple[float, float, float] = (1.0, 1.0, 1.0)
    shares: Mapping[Key, float] = attrs.field(factory=dict)
    accepted: float = 1.0

    @functools.cached_property
    def admits_all(self) -> bool:
        """True if all requests are admitted."""
        return min(self.defaults) >= 1.0 and all(share >= 1.0 for share in self.shares.values())

    def share(self, importance: call.Importance, team: str) -> float:
        """Returns the admitted share of requests of `team` in class `importance`."""
        return self.shares.get((importance, team), self.defaults[importance])

    @property
    def unattributed(self) -> float:
        """Admitted share of calls that belong to a running request but do not name it."""
        return self.shares.get(UNATTRIBUTED, 1.0)

    @functools.cached_property
    def encoded(self) -> str:
        """The threshold as a header value; "" if all calls are admitted and accepted."""
        if self.admits_all and self.accepted >= 1.0:
            return ""
        shares = dict(self.shares)
        if self.accepted < 1.0:
            shares[_ACCEPTED] = self.accepted
        listed = [f"{key[0].value}:{key[1]}={share:.3f}" for key, share in shares.items()]
        return ";".join([",".join(f"{share:.3f}" for share in self.defaults), *listed])


ADMIT_ALL = Threshold()


@functools.lru_cache(maxsize=DECODED_CACHE_ENTRIES)
def decode_threshold(text: str) -> Threshold:
    """Returns the threshold that `Threshold.encoded` encoded; raises ValueError on other texts."""
    if not text:
        return ADMIT_ALL
    first, *listed = text.split(";")
    defaults = tuple(_parse_share(part) for part in first.split(","))
    if len(defaults) != len(call.Importance):
        raise ValueError(
            f"threshold has shares of {len(defaults)} classes; send one share for each class"
        )
    shares = {}
    for item in listed:
        name, _, share = item.rpartition("=")
        importance, _, team = name.partition(":")
        shares[call.Importance(int(importance)), team] = _parse_share(share)
    accepted = shares.pop(_ACCEPTED, 1.0)
    return Threshold(defaults, shares, accepted)


def _parse_share(text: str) -> float:
    share = float(text)
    if not 0.0 <= share <= 1.0:
        raise ValueError(f"share {text!r} is out of range; send a number from 0 to 1")
    return share


@attrs.define
class LoadReport:
    """State of one gate, sent with answers.

    Attributes:
        load: Calls that run or wait, divided by the limit; above 1.0 calls wait.
        limit: Calls that may run at once.
        in_flight: Calls that run.
        queued: Calls that wait.
        threshold: Shares of classes and teams that the gate can admit.
    """

    load: float
    limit: int
    in_flight: int
    queued: int
    threshold: Threshold = ADMIT_ALL

    def to_list(self) -> list[float | str]:
        """Returns the report as the list of JSON values that nodes send."""
        return [self.load, self.limit, self.in_flight, self.queued, self.threshold.encoded]

    @classmethod
    def from_list(cls, values: list) -> "LoadReport":
        """Returns the report from a list that `to_list` returned.

        Raises:
            ValueError: A value or the number of values is not valid.
            TypeError: The values are no list.
        """
        gate_load, limit, in_flight, queued, encoded = values
        if not isinstance(encoded, str):
            raise errors.MalformedEntryError(f"threshold is {excerpt.quote(encoded)}; send a text")
        counts = [
            int(fields.number(name, value, 0.0, MAX_CALLS))
            for name, value in (("limit", limit), ("in_flight", in_flight), ("queued", queued))
        ]
        threshold = decode_threshold(encoded)
        return cls(fields.number("load", gate_load, 0.0, MAX_CALLS), *counts, threshold)
