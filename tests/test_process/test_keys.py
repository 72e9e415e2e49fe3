"""Withdrawn keys are refused, also on keep-alive connections and during a platform outage."""

import http.client

import pytest

from bergamotridge.operators import client
from standins import fleet, processes

COMMAND_TIMEOUT_S = 10.0


def get_call_status(connection, rig, key):
    headers = {"Request-Tag": rig.tag(), "Authorization": f"Bearer {key.secret}"}
    connection.request("GET", "/rows", headers=headers)
    response = connection.getresponse()
    response.read()
    return response.status


@pytest.mark.parametrize("outage", [False, True])
def test_withdrawn_key_is_refused_on_keep_alive_connections(rig, outage):
    key = rig.fleet.grant("large")
    connections = []
    for host in rig.fleet.members:
        rig.call_until(host, "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
        address = rig.fleet.addresses(host).callers
        connections.append(http.client.HTTPConnection(address, timeout=20))
        assert get_call_status(connections[-1], rig, key) == 200
    sockets = [connection.sock for connection in connections]
    if outage:
        rig.fleet.inject_platform_faults(outage=True)
        rig.fleet.withdraw(key, "back-1")
    else:
        rig.fleet.withdraw(key)
    for connection in connections:
        processes.wait_until(
            lambda c=connection: get_call_status(c, rig, key) == 401, "the withdrawn key is refused"
        )
    assert [connection.sock for connection in connections] == sockets
    for connection in connections:
        assert get_call_status(connection, rig, key) == 401
        connection.close()


def test_withdrawal_during_an_outage_reaches_a_restarted_node(rig):
    key = rig.fleet.grant("large")
    rig.call_until("front-1", "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
    rig.fleet.inject_platform_faults(outage=True)
    rig.fleet.withdraw(key, "front-1")
    rig.call_until("back-2", "GET", "/rows", lambda reply: reply.status == 401, key=key.secret)
    node = rig.fleet.members["front-2"].node
    node.kill()
    node.start()
    rig.fleet.inject_platform_faults(outage=False)
    rig.fleet.wait_ready()
    rig.call_until("front-2", "GET", "/rows", lambda reply: reply.status == 401, key=key.secret)


# A node confirmed a withdrawal that only its memory held: after a kill all served the key for good.
def test_a_confirmed_withdrawal_outlives_a_kill_at_once_of_the_node_that_confirmed_it(rig):
    key = rig.fleet.grant("large")
    for host in rig.fleet.members:
        rig.call_until(host, "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
    rig.fleet.inject_platform_faults(outage=True)
    asked = rig.fleet.members["front-1"]
    operator_client = client.OperatorClient(asked.addresses.operators, COMMAND_TIMEOUT_S)
    operator_client.withdraw(key.key_id, fleet.FLEET_SECRET)
    asked.node.kill()
    asked.node.start()
    for host in rig.fleet.members:
        rig.call_until(host, "GET", "/rows", lambda reply: reply.status == 401, key=key.secret)
