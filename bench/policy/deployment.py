"""The two deployments: the operator's text of the example plus what the model needs besides."""

import pathlib
from collections.abc import Mapping

import attrs

from bergamotridge import call
from bergamotridge.operators import operator_text

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
DOMAINS = 4


@attrs.frozen
class Deployment:
    """One deployment.

    Attributes:
        name: Name of the example.
        text: Operator's text.
        between_s: One-way delay between failure domains, in seconds.
        client_s: One-way delay between clients and the fleet, in seconds.
        work_s: Mean own service time of a call by service, in seconds.
        paths: For each route, the services called one below the other.
        mix: Share of each route in the demand.
    """

    name: str
    text: operator_text.OperatorText
    between_s: float
    client_s: float
    work_s: Mapping[str, float]
    paths: Mapping[str, tuple[str, ...]]
    mix: Mapping[str, float]

    def hold_s(self, path: tuple[str, ...]) -> dict[str, float]:
        """Returns for how long a request holds a slot of each service on its path."""
        held, below = {}, 0.0
        for service in reversed(path):
            below += self.work_s[service]
            held[service] = below
        return held

    def slots(self, service: str) -> float:
        """Returns the slots of a service on all its servers."""
        return float(DOMAINS * self.text.services[service].slots)

    def served(self, demand: Mapping[str, float], slots: Mapping[str, float]) -> dict[str, float]:
        """Returns what of `demand` fits: classes in order, within a class an equal share.

        Args:
            demand: Requests per second by route.
            slots: Slots by service.
        """
        left = dict(slots)
        result = dict.fromkeys(demand, 0.0)
        for importance in call.Importance:
            growing = {name for name in demand if self.text.routes[name].importance is importance}
            while growing:
                step = self._step(growing, demand, result, left)
                for name in growing:
                    result[name] += step * demand[name]
                    for service, held in self.hold_s(self.paths[name]).items():
                        left[service] -= step * demand[name] * held
                growing = {
                    name
                    for name in growing
                    if result[name] < demand[name] * (1 - 1e-9)
                    and all(left[service] > 1e-9 for service in self.paths[name])
                }
        return result

    def _step(
        self,
        growing: set[str],
        demand: Mapping[str, float],
        result: Mapping[str, float],
        left: Mapping[str, float],
    ) -> float:
        step = min(1.0 - result[name] / demand[name] for name in growing)
        for service, room in left.items():
            used = sum(
                demand[name] * self.hold_s(self.paths[name]).get(service, 0.0) for name in growing
            )
            if used:
                step = min(step, max(0.0, room) / used)
        return step

    def capacity(self) -> float:
        """Returns the requests per second of the given mix at which the first service is full."""
        return min(
            self.slots(service)
            / sum(
                share * self.hold_s(self.paths[name]).get(service, 0.0)
                for name, share in self.mix.items()
            )
            for service in self.work_s
        )


def _load(name: str) -> operator_text.OperatorText:
    path = EXAMPLES / name / "fleet.toml"
    return operator_text.parse(path.read_text(encoding="utf-8"), path.name)


def cooperatie() -> Deployment:
    """Returns the deployment of Coöperatie Kinderwagenherstel Nederland."""
    return Deployment(
        name="cooperatie",
        text=_load("cooperatie"),
        between_s=0.001,
        client_s=0.001,
        work_s={"counter": 0.06, "status": 0.08, "booking": 0.1, "depot": 0.2},
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
        between_s=0.0015,
        client_s=0.008,
        work_s={"cancellation": 0.1, "booking": 0.15, "payment": 0.2, "calendar": 0.4},
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


ALL = {"cooperatie": cooperatie, "kitami": kitami}
