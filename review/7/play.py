"""All machines lose power while the store is away for a drill; it comes back from a copy."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

import fleet as fleets
import record
import traffic

CALM_S = 15.0  # Until the copy is made; a fleet takes some 10 s to hold the rates of its tenants.
COPY_AGE_S = 5.0
AWAY_S = 2.0
DRILL, KILL, NONE = "drill", "kill", "0"


async def play(trouble: str, folder: pathlib.Path, rows: record.Record) -> int:
    """Plays the case; returns 1 if RECOVER was broken, 0 if it held."""
    fleet = fleets.Fleet(rows, folder)
    clients = traffic.Clients(fleet)
    try:
        await fleet.start(traffic.SERVICES, traffic.make_configuration())
        for machine in fleet.machines:
            clients.add(machine)
        await asyncio.sleep(CALM_S)
        copy = fleet.store.copy()
        await asyncio.sleep(COPY_AGE_S)
        fault_at = rows.now()
        if trouble != NONE:
            rows.add("store goes away and all machines lose power")
            fleet.store.go_away()
            for machine in fleet.machines:
                machine.send(signal.SIGKILL)
            await asyncio.sleep(AWAY_S)
            fleet.store.come_back(copy if trouble == DRILL else None)
            rows.add("store is back", era=fleet.store.era)
            for machine in fleet.machines:
                machine.start_node()
            await fleet.wait_ready()
        back_at = rows.now()
        rows.add("machines are back")
        await asyncio.sleep(traffic.RECOVERY_S + traffic.MEASURED_S)
    finally:
        await clients.end()
        await fleet.end()
    return traffic.judge_recovery(rows, fault_at, back_at)


def main() -> int:
    """Plays the case with the trouble that the environment names."""
    trouble = os.environ.get("TROUBLE", DRILL)
    trouble = trouble if trouble in (NONE, KILL) else DRILL
    # Told to end, it ends the processes that it started, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    rows = record.Record(pathlib.Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(play(trouble, pathlib.Path(folder), rows))
        except (OSError, TimeoutError, KeyboardInterrupt) as error:
            print(f"the case could not run: {error!r}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
