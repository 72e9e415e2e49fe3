"""Several nodes over real gRPC: joining, configuration, keys, draining, loss of a node."""

import time

import attrs
import grpc
import pytest

from bergamotridge import errors
from bergamotridge.nodes import control, gossip_pb2, gossip_pb2_grpc, record
from tests import positions
from tests.test_nodes import fleet

TEXT = "[services.booking]\n"


def test_membership_configuration_and_withdrawn_keys_reach_all_nodes():
    with fleet.fleet(5) as nodes:
        fleet.wait_for(lambda: all(len(node.members.members()) == 5 for node in nodes))
        nodes[3].configuration.apply_version(positions.at(7), TEXT, "change")
        nodes[1].ring.withdraw("k1")
        nodes[2].members.announce("booking", record.State.READY, 50, 0.0, time.monotonic())
        fleet.wait_for(
            lambda: all(node.configuration.version == positions.text_version(7) for node in nodes)
        )
        fleet.wait_for(lambda: all(node.ring.pending == {"k1"} for node in nodes))
        fleet.wait_for(lambda: all(node.members.candidates("booking") for node in nodes))
        nodes[2].members.announce("booking", record.State.DRAINING, 50, 0.0, time.monotonic())
        fleet.wait_for(lambda: not any(node.members.candidates("booking") for node in nodes))


def test_a_peer_that_was_told_of_a_withdrawn_key_refuses_it_before_the_call_returns():
    with fleet.fleet(3) as nodes:
        fleet.wait_for(lambda: all(len(node.members.members()) == 3 for node in nodes))
        told, killed = nodes[1], nodes.pop()
        nodes[0].ring.withdraw("k1")
        assert nodes[0].gossip.tell_withdrawn(told.members.own, "k1")
        assert told.ring.pending == {"k1"}
        killed.kill()
        assert not nodes[0].gossip.tell_withdrawn(killed.members.own, "k1")
        moved = attrs.evolve(killed.members.own, control_address=told.members.own.control_address)
        assert not nodes[0].gossip.tell_withdrawn(moved, "k1")


def test_a_killed_node_is_lost_and_its_restarted_process_joins():
    with fleet.fleet(4) as nodes:
        fleet.wait_for(lambda: all(len(node.members.members()) == 4 for node in nodes))
        nodes[0].configuration.apply_version(positions.at(3), TEXT)
        killed = nodes.pop()
        address = killed.members.own.control_address
        killed.kill()
        fleet.wait_for(lambda: all(len(node.members.members()) == 3 for node in nodes))
        seed_addresses = (nodes[1].members.own.control_address,)
        nodes.append(fleet.start(3, seed_addresses, address=address, incarnation=2))
        fleet.wait_for(lambda: all(len(node.members.members()) == 4 for node in nodes))
        fleet.wait_for(lambda: nodes[-1].configuration.version == positions.text_version(3))


def test_a_port_in_use_and_a_wrong_secret_are_rejected():
    with fleet.fleet(1) as nodes:
        address = nodes[0].members.own.control_address
        with pytest.raises(errors.AddressInUseError):
            control.ControlServer(address, fleet.SECRET, ())
        pool = control.ChannelPool("another")
        with pytest.raises(grpc.RpcError) as caught:
            gossip_pb2_grpc.GossipStub(pool.channel(address)).Fetch(
                gossip_pb2.FetchRequest(kind="configuration")
            )
        assert caught.value.code() is grpc.StatusCode.UNAUTHENTICATED
        pool.close()
