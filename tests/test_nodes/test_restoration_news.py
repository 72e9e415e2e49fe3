"""Nodes tell each other of restorations of the store, with their age."""

from bergamotridge.nodes import gossip_pb2, restoration_news
from bergamotridge.store import restorations


def test_a_node_learns_of_a_restoration_and_its_age_from_a_peer():
    noticing, learning = restorations.Restorations(), restorations.Restorations()
    message = gossip_pb2.GossipMessage()
    restoration_news.write(message, noticing, 5.0)
    restoration_news.read(message, learning, 5.0)
    assert learning.latest is None
    noticing.observe(1, 5.0)
    noticing.observe(2, 10.0)
    restoration_news.write(message, noticing, 14.0)
    restoration_news.read(message, learning, 100.0)
    assert learning.latest == restorations.Restoration(2, 96.0, restorations.FROM_PEER)
