"""Applies the announcements of the local upstream and publishes its state to the other nodes."""

from collections.abc import Callable

import attrs

from bergamotridge.nodes import membership, record
from bergamotridge.store import configuration
from bergamotridge.upstreams import announcement, gate, local_upstream


@attrs.frozen
class StatePublisher:
    """Brings the state of the local upstream into the record of this host.

    Attributes:
        members: Records of all hosts.
        start_urgent_round: Tells other nodes at once.
        is_stopping: Returns True once this node stops; its record is final then.
    """

    members: membership.Membership
    start_urgent_round: Callable[[], None]
    is_stopping: Callable[[], bool]

    def publish(self, current: announcement.Announcement, now: float) -> None:
        """Publishes what an upstream said of itself, at the monotonic time `now`."""
        if current.state is record.State.DRAINING:
            self.members.record_leave(current.instance, current.incarnation, now)
        if self.is_stopping():
            return
        was_lost = self.members.own.state is record.State.LOST
        self.members.announce(current.service, current.state, current.slots, current.load, now)
        if was_lost and current.state is record.State.READY:
            # Calls may wait for it at the other nodes.
            self.start_urgent_round()


@attrs.frozen
class AnnouncementApplier:
    """Applies announcements, and the limits that the configuration sets for the service.

    Attributes:
        upstream: The local upstream.
        admission: Its gate.
        store: The configuration in force.
        publish: Publishes the state that results.
        bounds_cold: True if the `cold_rate` of services is kept.
    """

    upstream: local_upstream.LocalUpstream
    admission: gate.Gate
    store: configuration.ConfigurationStore
    publish: local_upstream.OnStateChange
    bounds_cold: bool = False

    def apply(self, received: announcement.Announcement, now: float) -> None:
        """Applies an announcement that came at the monotonic time `now`, unless it is out of date.

        Args:
            received: The announcement.
            now: Monotonic time in seconds.
        """
        is_new_service = self.upstream.service != received.service
        if not self.upstream.apply_announcement(received, now):
            return
        if is_new_service:
            self.configure_gate()
        self.publish(self.upstream.announcement, now)

    def configure_gate(self) -> None:
        """Sets the limits of the service, if the service and its configuration are known."""
        current = self.store.current
        service = current.text.services.get(self.upstream.service) if current else None
        if service is not None:
            self.admission.configure(service.slots, service.connections)
            if self.bounds_cold:
                self.admission.configure_cold(service.cold_rate, service.cold_start_s)

    def health_path(self, service: str) -> str:
        """Returns the path of the health check of a service, "" while not known."""
        current = self.store.current
        known = current.text.services.get(service) if current else None
        return known.health_path if known else ""
