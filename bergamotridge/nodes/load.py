"""What a gate tells the nodes that call it: its load and the shares that it can take."""

import functools
from collections.abc import Mapping

import attrs
import xxhash

from bergamotridge import call

DECODED_KEPT = 256

Key = tuple[call.Importance, str]

# The class and team of calls that do not tell their request; no team can have this name.
UNATTRIBUTED: Key = (call.Importance.SHEDDABLE, ":unattributed")


def position(request_id: str) -> float:
    """Returns where a request stands in its class, from 0.0 to below 1.0, alike on all nodes."""
    return xxhash.xxh32_intdigest(request_id.encode()) / 2**32


@attrs.frozen
class Threshold:
    """Admitted shares, 0.0 to 1.0, by class and team.

    Attributes:
        defaults: Share of each class for the teams that are not listed.
        shares: Shares of listed teams by (class, team).
    """

    defaults: tuple[float, float, float] = (1.0, 1.0, 1.0)
    shares: Mapping[Key, float] = attrs.field(factory=dict)

    @functools.cached_property
    def open(self) -> bool:
        """True if nothing is shed."""
        return min(self.defaults) >= 1.0 and all(share >= 1.0 for share in self.shares.values())

    def share(self, importance: call.Importance, team: str) -> float:
        """Returns the admitted share of requests of `team` in class `importance`."""
        return self.shares.get((importance, team), self.defaults[importance])

    @property
    def unattributed(self) -> float:
        """Admitted share of calls that belong to a running request which they do not tell."""
        return self.shares.get(UNATTRIBUTED, 1.0)

    @functools.cached_property
    def encoded(self) -> str:
        """The form in a header; "" if nothing is shed."""
        if self.open:
            return ""
        listed = [f"{key[0].value}:{key[1]}={share:.3f}" for key, share in self.shares.items()]
        return ";".join([",".join(f"{share:.3f}" for share in self.defaults), *listed])


OPEN = Threshold()


@functools.lru_cache(maxsize=DECODED_KEPT)
def decode_threshold(text: str) -> Threshold:
    """Returns the threshold with this encoded form; raises ValueError on any other text."""
    if not text:
        return OPEN
    first, *listed = text.split(";")
    defaults = tuple(_share(part) for part in first.split(","))
    if len(defaults) != len(call.Importance):
        raise ValueError(f"threshold with {len(defaults)} classes")
    shares = {}
    for item in listed:
        name, _, share = item.rpartition("=")
        importance, _, team = name.partition(":")
        shares[call.Importance(int(importance)), team] = _share(share)
    return Threshold(defaults, shares)


def _share(text: str) -> float:
    share = float(text)
    if not 0.0 <= share <= 1.0:
        raise ValueError(f"share {text!r} is not within 0 and 1")
    return share


@attrs.frozen
class LoadReport:
    """State of one gate.

    Attributes:
        load: Calls running and waiting over the limit; above 1.0 calls wait.
        limit: Calls that may run at once.
        in_flight: Calls that run.
        queued: Calls that wait.
        threshold: Shares of classes and teams that the gate can take.
    """

    load: float
    limit: int
    in_flight: int
    queued: int
    threshold: Threshold = OPEN

    def fields(self) -> list[float | str]:
        """Returns the form in which nodes pass it on."""
        return [self.load, self.limit, self.in_flight, self.queued, self.threshold.encoded]

    @classmethod
    def read(cls, fields: list) -> "LoadReport":
        """Returns the report that `fields` gave; raises ValueError or TypeError."""
        known, limit, in_flight, queued, threshold = fields
        opened = decode_threshold(threshold) if threshold else OPEN
        return cls(float(known), int(limit), int(in_flight), int(queued), opened)
