"""A lower limit of a tenant, and an outage of the store from 2.3 s after its confirmation."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import fleet as fleets  # noqa: E402

HOW = "silent"
OUTAGE_S = 4.5  # The longest outage of the whole store in the site files.
OUTAGE_AFTER_S = 2.3  # Later than `config_apply`, at which all machines were in touch.
OLD_RATE, NEW_RATE, BURST = 80, 5, 10
TENANTS = [f"tenant{number}" for number in range(6)]
SENT_PER_S = 60.0  # By each tenant, over all machines.
WATCHED_S = 16.0


def make_config(version: str, rate: int) -> dict:
    """Returns the configuration with the same limit for each tenant."""
    tenants = [
        {"name": name, "api_keys": [f"key-of-{name}"], "rate_per_s": rate, "burst": BURST}
        for name in TENANTS
    ]
    routes = [("look.example", "/look/", "desk", "safe", False)]
    return fleets.make_config(version, routes, ["desk"], tenants)


async def scenario(fleet: fleets.Fleet, trouble: bool) -> str:
    """Returns what broke QUOTA, "" if it held."""
    await fleet.start(["desk"] * 4, make_config("r3", OLD_RATE))
    clients = [fleets.Client(fleet.record, node) for node in fleet.nodes]
    loads = [
        asyncio.create_task(
            client.send_steadily(
                SENT_PER_S / len(clients), "look.example", "/look/1", key=f"key-of-{tenant}"
            )
        )
        for client in clients
        for tenant in TENANTS
    ]
    await asyncio.sleep(8.0)
    fleet.store.write("config", "main", make_config("r7", NEW_RATE))
    confirmed_at = fleet.record.add("config confirmed", version="r7")
    await asyncio.sleep(OUTAGE_AFTER_S)
    if trouble:
        fleet.record.add("store down", how=HOW)
        fleet.store.trouble = HOW
    await asyncio.sleep(OUTAGE_S)
    fleet.store.trouble = ""
    fleet.record.add("store up")
    await asyncio.sleep(WATCHED_S - OUTAGE_S - OUTAGE_AFTER_S)
    for load in loads:
        load.cancel()
    return judge(fleet.record.rows, confirmed_at)


def judge(rows: list[dict], confirmed_at: float) -> str:
    """Checks each window that begins one window after `config_apply` past the confirmation."""
    window_s = fleets.QUOTA_WINDOW_S
    binds_at = confirmed_at + fleets.CONFIG_APPLY_S + window_s
    bound = (NEW_RATE * window_s + BURST) * 1.1 + 20
    sent_at = {row["id"]: row["at"] for row in rows if row["what"] == "sent"}
    worst = (0, "", 0.0)
    for tenant in TENANTS:
        runs = [
            (sent_at[row["id"]], row["at"])
            for row in rows
            if row["what"] == "run" and row["tenant"] == tenant
        ]
        for start, _ in runs:
            if start >= binds_at:
                count = sum(start <= sent and at <= start + window_s for sent, at in runs)
                worst = max(worst, (count, tenant, start - confirmed_at))
    count, tenant, after_s = worst
    print(f"most in a window: {count} of {tenant}, from {after_s:.2f} s on; allowed: {bound:g}")
    return "" if count <= bound else f"QUOTA: {count} requests in a window, {bound:g} allowed"


if __name__ == "__main__":
    fleets.run_case(str(HERE), ("noord", "oost", "zuid", "west"), scenario)
