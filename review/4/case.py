"""A node restarts, its server deregisters, and a liveness report from before arrives late."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import fleet as fleets  # noqa: E402

LATE_S = 3.0  # By which the report is late.
EXITS_AFTER_S = 4.6  # From the deregistration to the exit of the server.
WORK_S = 0.8
SENT_PER_S = 40.0


async def scenario(fleet: fleets.Fleet, trouble: bool) -> str:
    """Returns what broke DRAIN, "" if it held."""
    routes = [("book.example", "/book/", "bookings", "unsafe", True)]
    config = fleets.make_config("r3", routes, ["bookings", "desk"])
    await fleet.start(["bookings", "bookings", "desk"], config, WORK_S)
    node, server = fleet.nodes[0], fleet.servers[0]
    clients = [fleets.Client(fleet.record, item) for item in fleet.nodes[1:]]
    loads = [
        asyncio.create_task(
            client.send_steadily(SENT_PER_S, "book.example", "/book/1", method="POST", body=b"{}")
        )
        for client in clients
    ]
    await asyncio.sleep(2.0)

    # The node is stopped and started again on its own; its server goes on.
    server.stop_beats()
    node.send(signal.SIGTERM)
    while node.process.poll() is None:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)
    node.start()
    await node.wait_ready()
    late_report = server.report()  # Sent now, and held up on its way.
    server.leaving = True
    status = await server.say("Deregister", b"")
    left_at = fleet.record.add("leave acknowledged", server=server.id, status=status)
    if status != 200:
        raise fleets.CaseError(f"the deregistration was answered {status}")
    await asyncio.sleep(LATE_S)
    if trouble:
        await server.say("Heartbeat", late_report)
    await asyncio.sleep(EXITS_AFTER_S - LATE_S)
    server.end()
    await asyncio.sleep(1.0)
    for load in loads:
        load.cancel()
    return judge(fleet.record.rows, server.id, left_at)


def judge(rows: list[dict], server: str, left_at: float) -> str:
    """Counts the requests that the server runs later than `drain` after its leave."""
    late = [
        row
        for row in rows
        if row["what"] == "run" and row["server"] == server and row["at"] > left_at + fleets.DRAIN_S
    ]
    print(f"requests at the server later than {fleets.DRAIN_S:g} s after its leave: {len(late)}")
    if not late:
        return ""
    finished = {row["id"] for row in rows if row["what"] == "ran"}
    answers = {row["id"]: row["status"] for row in rows if row["what"] == "answered"}
    cut = [answers.get(row["id"], 0) for row in late if row["id"] not in finished]
    print(f"of them cut off by the end of the server, answered with: {sorted(cut)}")
    after_s = late[0]["at"] - left_at
    return f"DRAIN: {len(late)} requests, the first {after_s:.2f} s after the acknowledgement"


if __name__ == "__main__":
    fleets.run_case(str(HERE), ("noord", "oost", "zuid"), scenario)
