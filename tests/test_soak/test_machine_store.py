"""The store stand-in turns single machines away, forgets its history and comes back from a copy."""

import asyncio
import contextlib
import json
import os

import pytest

from soak.machines import network, record, store, wire

WAIT_S = 60.0


@contextlib.asynccontextmanager
async def serve():
    """Starts a store with a configuration; yields it with the addresses of two machines."""
    own = store.Store(record.Record())
    own.write("config", "main", "r1")
    ip = f"{network.find(os.getpid())}.{network.STORE}"
    yield own, [await own.listen(ip, number) for number in (1, 2)]
    own.close()


async def ask(address, target, method="GET", value=None):
    """Returns status, fields and table of the answer to a call."""
    reader, writer = await wire.connect(address)
    try:
        body = json.dumps(value).encode() if value else b""
        writer.write(wire.encode(f"{method} /objects/{target} HTTP/1.1", {"Host": "s"}, body))
        message = await wire.read_head(reader)
        await wire.read_body(reader, message)
        return message.status, message.fields, json.loads(message.body)
    finally:
        writer.close()


def play(scene):
    asyncio.run(asyncio.wait_for(scene, WAIT_S))


@pytest.mark.parametrize("trouble", ["busy", "reset"])
def test_one_machine_is_turned_away_and_another_served(trouble):
    async def scene():
        async with serve() as (own, (first, second)):
            own.turned_away[1] = trouble
            assert (await ask(second, "config/main"))[0] == 200
            if trouble == "busy":
                assert (await ask(first, "config/main"))[0] == 503
                return
            with pytest.raises((ConnectionError, wire.EndedError)):
                await ask(first, "config/main")

    play(scene())


def test_a_compacted_store_cuts_off_watches_and_refuses_those_from_before():
    async def scene():
        async with serve() as (own, (first, second)):
            _, _, listed = await ask(first, "config")
            since = listed["as_of"]
            waiting = asyncio.create_task(ask(first, f"config?watch={since}&wait_ms=4000"))
            await asyncio.sleep(0.05)
            own.deaf = True
            own.write("config", "main", "r2")
            own.compact()
            own.deaf = False
            with pytest.raises((ConnectionError, wire.EndedError)):
                await waiting
            assert (await ask(second, f"config?watch={since}"))[0] == 410
            _, _, listed = await ask(first, "config")
            assert (await ask(second, f"config?watch={listed['as_of']}"))[0] == 200

    play(scene())


# A change that a deaf watch passes over would be lost for good.
def test_a_deaf_watch_has_to_be_asked_again_from_where_it_began():
    async def scene():
        async with serve() as (own, (first, _)):
            _, _, listed = await ask(first, "config")
            own.deaf = True
            own.write("config", "main", "r2")
            _, _, heard = await ask(first, f"config?watch={listed['as_of']}&wait_ms=10")
            assert heard == {"events": [], "as_of": listed["as_of"]}

    play(scene())


def test_a_restored_store_lacks_what_the_system_wrote_but_not_the_configuration(monkeypatch):
    async def scene():
        monkeypatch.setattr(store, "COPY_EVERY_S", 0.0)
        async with serve() as (own, (first, _)):
            kept = {"metadata": {"name": "kept"}, "spec": 1}
            _, before, _ = await ask(first, "lease", "POST", kept)
            # The store's time has steps of 0.1 ms.
            await asyncio.sleep(0.01)
            at = own.rows.now()
            await asyncio.sleep(0.01)
            await ask(first, "lease", "POST", {"metadata": {"name": "gone"}, "spec": 1})
            own.write("config", "main", "r2")
            _, _, listed = await ask(first, "config")
            now = own.rows.now()
            monkeypatch.setattr(own.rows, "now", lambda: now)
            own.restore(now - at)
            _, after, leases = await ask(first, "lease")
            assert [item["metadata"]["name"] for item in leases["items"]] == ["kept"]
            assert (await ask(first, "config/main"))[2]["spec"] == "r2"
            assert (before["store-era"], after["store-era"]) == ("1", "2")
            assert leases["as_of"] < listed["as_of"]
            assert (await ask(first, f"config?watch={listed['as_of']}"))[0] == 410

    play(scene())
