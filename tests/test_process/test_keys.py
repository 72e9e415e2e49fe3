"""Withdrawn keys stop, also on connections that stay open and while the platform is down."""

import http.client

import pytest

from standins import processes


def status_on(connection, rig, key):
    headers = {"Request-Tag": rig.tag(), "Authorization": f"Bearer {key.secret}"}
    connection.request("GET", "/rows", headers=headers)
    answer = connection.getresponse()
    answer.read()
    return answer.status


@pytest.mark.parametrize("outage", [False, True])
def test_withdrawn_key_on_kept_connections(rig, outage):
    key = rig.fleet.grant("large")
    connections = []
    for host in rig.fleet.members:
        rig.until(host, "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
        address = rig.fleet.addresses(host).callers
        connections.append(http.client.HTTPConnection(address, timeout=20))
        assert status_on(connections[-1], rig, key) == 200
    sockets = [connection.sock for connection in connections]
    if outage:
        rig.fleet.platform_faults(outage=True)
        rig.fleet.withdraw(key, "back-1")
    else:
        rig.fleet.withdraw(key)
    for connection in connections:
        processes.wait_until(lambda c=connection: status_on(c, rig, key) == 401, "key refused")
    assert [connection.sock for connection in connections] == sockets
    for connection in connections:
        assert status_on(connection, rig, key) == 401
        connection.close()


def test_withdrawal_outlives_the_outage_and_a_new_node(rig):
    key = rig.fleet.grant("large")
    rig.until("front-1", "GET", "/rows", lambda reply: reply.status == 200, key=key.secret)
    rig.fleet.platform_faults(outage=True)
    rig.fleet.withdraw(key, "front-1")
    rig.until("back-2", "GET", "/rows", lambda reply: reply.status == 401, key=key.secret)
    node = rig.fleet.members["front-2"].node
    node.kill()
    node.start()
    rig.fleet.platform_faults(outage=False)
    rig.fleet.wait_ready()
    rig.until("front-2", "GET", "/rows", lambda reply: reply.status == 401, key=key.secret)
