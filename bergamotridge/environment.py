"""Parts of a node that a platform adapter may replace: store, text parser, header fields."""

from collections.abc import Callable

import attrs

from bergamotridge import malformed, settings
from bergamotridge.callers import dialect as callers_dialect
from bergamotridge.operators import operator_text
from bergamotridge.store import client, counted, restorations
from bergamotridge.upstreams import announcement, report_check
from bergamotridge.upstreams import dialect as upstreams_dialect
from bergamotridge.util import httpd

CreateStore = Callable[[settings.NodeSettings, restorations.Restorations], counted.WatchableObjects]
OnAnnouncement = Callable[[announcement.Announcement, float], None]


def _create_object_client(
    node: settings.NodeSettings, known_restorations: restorations.Restorations
) -> counted.WatchableObjects:
    return client.ObjectClient(node.platform.address, node.platform.timeout_s, known_restorations)


def _use_default_handler(
    handler: httpd.Handler,
    on_announcement: OnAnnouncement,
    on_malformed: malformed.OnMalformed,
) -> httpd.Handler:
    del on_announcement, on_malformed
    return handler


@attrs.frozen
class Environment:
    """Replaceable parts of a node; the defaults are the implementations of this package.

    Attributes:
        create_store: Creates the client of the platform's object store; takes the settings and the
            record of restorations that the client reports to.
        parse_text: Parses the operator's text; takes the text and the name of its source.
        keys_in_text: True if the operator's text holds the keys of teams; no other object holds
            keys then.
        caller_dialect: Header fields used between callers and nodes.
        upstream_dialect: Header fields used between a node and its upstream.
        read_instance: Returns the id of the upstream that made a response to a health check, "" if
            the response doesn't say.
        read_cold_s: Returns the seconds for which that upstream stays cold, None if it doesn't say.
        make_upstream_handler: Returns the handler of the port for the upstream; takes the default
            handler, the function that applies announcements of the upstream, and the one that takes
            reports of those that cannot be read.
        accepts_close_delimited: True if the end of the connection may mark the end of an upstream's
            response.
        service: Service of this host if the settings name it, else "".
    """

    create_store: CreateStore = _create_object_client
    parse_text: Callable[[str, str], operator_text.OperatorText] = operator_text.parse
    keys_in_text: bool = False
    caller_dialect: callers_dialect.CallerDialect = attrs.field(
        factory=callers_dialect.DefaultDialect
    )
    upstream_dialect: upstreams_dialect.UpstreamDialect = attrs.field(
        factory=upstreams_dialect.DefaultDialect
    )
    read_instance: report_check.ReadInstance = report_check.read_no_instance
    read_cold_s: report_check.ReadColdness = report_check.read_no_coldness
    make_upstream_handler: Callable[
        [httpd.Handler, OnAnnouncement, malformed.OnMalformed], httpd.Handler
    ] = _use_default_handler
    accepts_close_delimited: bool = False
    service: str = ""
