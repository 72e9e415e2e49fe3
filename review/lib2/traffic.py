"""The configuration and the clients of a small deployment, and the check of RECOVER."""

import asyncio

import fleet as fleets
import record

SERVICES = ["statusdesk", "bookings", "statusdesk", "bookings"] * 2
TEAMS = ("ward", "desk")
RATE_PER_S = 200
PAUSE_S = 0.1  # Between two requests of a client.
RECOVERY_S = 15.0  # Bound of the deployment.
MEASURED_S = 30.0
LAST_ANSWERS_S = 3.0
SPAN_BEFORE_S = 5.0


def make_configuration() -> dict:
    """Returns the operator's configuration: two services with one route each, and two tenants."""
    services = sorted(set(SERVICES))
    return {
        "version": "r7",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": [
            {
                "name": team,
                "api_keys": [f"key-{team}"],
                "rate_per_s": RATE_PER_S,
                "burst": RATE_PER_S,
            }
            for team in TEAMS
        ],
        "listeners": [
            {"host": f"{service}.example", "rules": [_make_rule(service)]} for service in services
        ],
        "clusters": [
            {
                "name": service,
                "health_path": "/health",
                "max_connections": 448,
                "protocol": "h1",
                "tls": False,
            }
            for service in services
        ],
    }


def _make_rule(service: str) -> dict:
    return {
        "name": f"r-{service}",
        "kind": "safe",
        "target_latency": "1500ms",
        "priority": 1,
        "public": False,
        "match": {"path_prefix": f"/{service}/"},
        "action": {"service": service, "timeout": "2000ms", "max_attempts": 2},
    }


class Clients:
    """Clients beside machines, one for each tenant; each sends one request after the other."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._tasks: list[asyncio.Task] = []

    def add(self, machine: fleets.Machine) -> None:
        """Adds the clients of a machine."""
        for team in TEAMS:
            self._tasks.append(asyncio.create_task(self._send_steadily(machine, team)))

    async def _send_steadily(self, machine: fleets.Machine, team: str) -> None:
        while True:
            for service in sorted(set(SERVICES)):
                path = f"/{service}/20/"
                await self._fleet.request(
                    machine, "GET", f"{service}.example", path, f"key-{team}", 2000
                )
                await asyncio.sleep(PAUSE_S)

    async def end(self) -> None:
        """Ends all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []


def count_served(rows: record.Record, begin: float, end: float) -> tuple[int, int, dict]:
    """Returns how many of the requests sent in a span were served, their number and statuses."""
    sent = {row["id"] for row in rows.rows if row["what"] == "sent" and begin <= row["at"] < end}
    answers = [row for row in rows.rows if row["what"] == "answered" and row["id"] in sent]
    statuses: dict[int, int] = {}
    for row in answers:
        statuses[row["status"]] = statuses.get(row["status"], 0) + 1
    served = sum(row["status"] == 200 and row["sealed"] for row in answers)
    return served, len(answers), statuses


def judge_recovery(rows: record.Record, fault_at: float, back_at: float) -> int:
    """Returns 1 if RECOVER was broken, 0 if it held, 2 if too little was served before."""
    served, asked, statuses = count_served(rows, fault_at - SPAN_BEFORE_S, fault_at - 1.0)
    print(f"before the fault: {served} of {asked} served, statuses {statuses}")
    if not asked or served < asked / 4:
        return 2
    begin = back_at + RECOVERY_S
    served, asked, statuses = count_served(rows, begin, begin + MEASURED_S - LAST_ANSWERS_S)
    print(
        f"later than {RECOVERY_S:.0f} s after the machines are back: {served} of {asked} served, "
        f"statuses {statuses}"
    )
    return int(served < asked / 4)
