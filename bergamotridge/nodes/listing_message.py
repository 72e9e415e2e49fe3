"""Messages with the objects of a replica, by which nodes fetch them from each other."""

import orjson

from bergamotridge import errors
from bergamotridge.nodes import gossip_pb2
from bergamotridge.store import client, position, readable
from bergamotridge.util import fields


def encode(listing: client.Listing) -> gossip_pb2.FetchResponse:
    """Returns the message that holds the objects of a listing."""
    response = gossip_pb2.FetchResponse(
        version=listing.version.revision, epoch=listing.version.epoch
    )
    for item in listing.items:
        response.objects.add(
            name=item.name,
            version=item.version.revision,
            epoch=item.version.epoch,
            value=b"" if item.value is None else orjson.dumps(item.value),
        )
    return response


def decode(kind: str, response: gossip_pb2.FetchResponse) -> client.Listing:
    """Returns the listing in a peer's message, with a report of each object that cannot be read.

    Args:
        kind: Kind of the objects.
        response: The message.
    """
    as_of = position.Position(response.epoch, response.version)
    read = readable.decode_each(
        kind,
        response.objects,
        lambda item: _decode_object(kind, item, as_of),
        lambda item: item.name,
    )
    return client.Listing(read.items, as_of, read.reports)


def _decode_object(
    kind: str, item: gossip_pb2.FetchedObject, as_of: position.Position
) -> client.StoredObject:
    try:
        epoch = fields.whole_number("epoch", item.epoch, 0, as_of.epoch)
        max_revision = as_of.revision if epoch == as_of.epoch else fields.MAX_INTEGER
        revision = fields.whole_number("version", item.version, 1, max_revision)
        value = orjson.loads(item.value) if item.value else None
    except (errors.MalformedEntryError, orjson.JSONDecodeError) as error:
        raise errors.MalformedObjectError(f"a peer's object cannot be read: {error}") from error
    fault = readable.find_fault(value)
    version = position.Position(epoch, revision)
    return client.StoredObject(kind, item.name, version, None if fault else value, fault)
