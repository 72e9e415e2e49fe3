"""Upstreams that may be chosen: those whose failure domain isn't evacuated."""

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from bergamotridge.nodes import leaves, record


class Directory(Protocol):
    """Lists the upstreams of each service; see `nodes.membership.Membership`."""

    def candidates(self, service: str) -> Sequence[record.UpstreamRecord]:
        """Returns the ready upstreams of a service, in the same object until they change."""

    def forgotten_leave(self, host: str, now: float) -> leaves.Leave | None:
        """Returns the leave of an upstream that the node of a host may have forgotten."""


@attrs.frozen
class _Filtered:
    """Candidates of a service without evacuated ones, and what they were computed from."""

    candidates: Sequence[record.UpstreamRecord]
    evacuated: frozenset[str]
    kept: Sequence[record.UpstreamRecord]


class EvacuatedDirectory:
    """Leaves out the upstreams of evacuated failure domains; for use on one event loop.

    As long as neither the upstreams nor the evacuations change, `candidates` returns the same
    object for a service, by which `nodes.choice` finds what it has cached.
    """

    def __init__(self, directory: Directory, read_evacuated: Callable[[], frozenset[str]]) -> None:
        """Creates a filter.

        Args:
            directory: Lists all upstreams.
            read_evacuated: Returns the evacuated failure domains, another object after a change.
        """
        self._directory = directory
        self._read_evacuated = read_evacuated
        self._filtered: dict[str, _Filtered] = {}

    def candidates(self, service: str) -> Sequence[record.UpstreamRecord]:
        """Returns the ready upstreams of a service whose failure domain isn't evacuated."""
        candidates = self._directory.candidates(service)
        evacuated = self._read_evacuated()
        if not evacuated or not candidates:
            return candidates
        cached = self._filtered.get(service)
        if (
            cached is None
            or cached.candidates is not candidates
            or cached.evacuated is not evacuated
        ):
            kept = tuple(item for item in candidates if item.failure_domain not in evacuated)
            cached = self._filtered[service] = _Filtered(candidates, evacuated, kept)
        return cached.kept

    def forgotten_leave(self, host: str, now: float) -> leaves.Leave | None:
        """Returns the leave of an upstream that the node of a host may have forgotten."""
        return self._directory.forgotten_leave(host, now)
