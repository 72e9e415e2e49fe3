"""The two deployments: the operator's text of the example, and delays, service times and mix."""

import pathlib
from collections.abc import Mapping

import attrs

from bergamotridge import call
from bergamotridge.operators import operator_text

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
FAILURE_DOMAINS = 4


@attrs.frozen
class Deployment:
    """One deployment, with one server of each service in each failure domain.

    Attributes:
        name: Name of the example.
        text: Operator's text.
        delay_between_domains_s: One-way delay between failure domains, in seconds.
        client_delay_s: One-way delay between clients and the fleet, in seconds.
        service_time_s: Mean service time of a call by service, in seconds, without the time that
            it waits for the call below.
        paths: For each route, the chain of services in which each calls the next.
        mix: Share of each route in the demand, 0.0 to 1.0.
    """

    name: str
    text: operator_text.OperatorText
    delay_between_domains_s: float
    client_delay_s: float
    service_time_s: Mapping[str, float]
    paths: Mapping[str, tuple[str, ...]]
    mix: Mapping[str, float]

    def slot_times_s(self, path: tuple[str, ...]) -> dict[str, float]:
        """Returns how many seconds a request holds a slot of each service on its path.

        A service holds its slot also while it waits for the services after it on the path.
        """
        slot_times, time_s = {}, 0.0
        for service in reversed(path):
            time_s += self.service_time_s[service]
            slot_times[service] = time_s
        return slot_times

    def count_slots(self, service: str) -> float:
        """Returns the number of slots of a service on all of its servers together."""
        return float(FAILURE_DOMAINS * self.text.services[service].slots)

    def compute_served_rates(
        self, demand: Mapping[str, float], slots: Mapping[str, float]
    ) -> dict[str, float]:
        """Returns the part of `demand` that the slots can serve, in requests per second by route.

        Classes of importance are served in order; within a class, all routes grow by the same
        fraction of their demand until the demand is met or a service on the path is full.

        Args:
            demand: Requests per second by route.
            slots: Slots by service.
        """
        free_slots = dict(slots)
        served = dict.fromkeys(demand, 0.0)
        for importance in call.Importance:
            growing = {name for name in demand if self.text.routes[name].importance is importance}
            while growing:
                step = self._largest_step(growing, demand, served, free_slots)
                for name in growing:
                    served[name] += step * demand[name]
                    for service, slot_s in self.slot_times_s(self.paths[name]).items():
                        free_slots[service] -= step * demand[name] * slot_s
                growing = {
                    name
                    for name in growing
                    if served[name] < demand[name] * (1 - 1e-9)
                    and all(free_slots[service] > 1e-9 for service in self.paths[name])
                }
        return served

    def _largest_step(
        self,
        growing: set[str],
        demand: Mapping[str, float],
        served: Mapping[str, float],
        free_slots: Mapping[str, float],
    ) -> float:
        step = min(1.0 - served[name] / demand[name] for name in growing)
        for service, free in free_slots.items():
            used = sum(
                demand[name] * self.slot_times_s(self.paths[name]).get(service, 0.0)
                for name in growing
            )
            if used:
                step = min(step, max(0.0, free) / used)
        return step

    def compute_capacity_per_s(self) -> float:
        """Returns the requests per second of the mix at which the first service is full."""
        return min(
            self.count_slots(service)
            / sum(
                share * self.slot_times_s(self.paths[name]).get(service, 0.0)
                for name, share in self.mix.items()
            )
            for service in self.service_time_s
        )


def _load(name: str) -> operator_text.OperatorText:
    path = EXAMPLES / name / "fleet.toml"
    return operator_text.parse(path.read_text(encoding="utf-8"), path.name)


def cooperatie() -> Deployment:
    """Returns the deployment of Coöperatie Kinderwagenherstel Nederland."""
    return Deployment(
        name="cooperatie",
        text=_load("cooperatie"),
        delay_between_domains_s=0.001,
        client_delay_s=0.001,
        service_time_s={"counter": 0.06, "status": 0.08, "booking": 0.1, "depot": 0.2},
        paths={
            "confirm-pickup": ("counter", "status", "depot"),
            "repair-status": ("status", "depot"),
            "stands": ("status",),
            "free-slots": ("booking", "depot"),
            "book": ("booking", "depot"),
            "cancel-booking": ("booking", "depot"),
            "pay": ("depot",),
            "order-parts": ("depot",),
            "parts": ("depot",),
        },
        mix={
            "confirm-pickup": 0.05,
            "repair-status": 0.3,
            "stands": 0.1,
            "free-slots": 0.3,
            "book": 0.06,
            "cancel-booking": 0.02,
            "pay": 0.04,
            "order-parts": 0.03,
            "parts": 0.1,
        },
    )


def kitami() -> Deployment:
    """Returns the deployment of Kitami Sodai Kaishu."""
    return Deployment(
        name="kitami",
        text=_load("kitami"),
        delay_between_domains_s=0.0015,
        client_delay_s=0.008,
        service_time_s={"cancellation": 0.1, "booking": 0.15, "payment": 0.2, "calendar": 0.4},
        paths={
            "pickup-slots": ("calendar",),
            "fees": ("calendar",),
            "booking-state": ("booking", "calendar"),
            "book": ("booking", "payment", "calendar"),
            "pay-sticker": ("payment", "calendar"),
            "refund": ("payment", "calendar"),
            "cancel": ("cancellation", "booking", "calendar"),
        },
        mix={
            "pickup-slots": 0.5,
            "fees": 0.15,
            "booking-state": 0.2,
            "book": 0.06,
            "pay-sticker": 0.06,
            "refund": 0.01,
            "cancel": 0.02,
        },
    )


DEPLOYMENTS = {"cooperatie": cooperatie, "kitami": kitami}
