"""Creates the parts of a node that know the platform, and what they have read from it."""

from collections.abc import Callable

import attrs

from bergamotridge import events, shared_parts
from bergamotridge.operators import operator_text
from bergamotridge.store import configuration, counted, evacuations, freshness, restorations


@attrs.frozen
class StoreParts:
    """Access to the platform's object store, and the state of the replicas of its objects.

    Attributes:
        restorations: Known restorations of the store.
        objects: Client of the store, whose requests are counted.
        configuration: The configuration in force.
        freshness: The time as of which each replica is current.
        evacuations: Evacuated failure domains; a replica only if the settings say so.
    """

    restorations: restorations.Restorations
    objects: counted.CountedStore
    configuration: configuration.ConfigurationStore
    freshness: freshness.Freshness
    evacuations: evacuations.Evacuations


def create(
    shared: shared_parts.SharedParts,
    create_client: Callable[[restorations.Restorations], counted.WatchableObjects],
    parse_text: Callable[[str, str], operator_text.OperatorText],
) -> StoreParts:
    """Creates the parts; no request is sent.

    Args:
        shared: Parts that all packages use.
        create_client: Creates the client of the store, which reports restorations.
        parse_text: Parses the operator's text; takes the text and the name of its source.
    """
    known_restorations = restorations.Restorations()
    known_restorations.add_listener(
        lambda noticed: shared.log.emit(
            "store.restored", epoch=noticed.epoch, told_by=noticed.source
        )
    )
    return StoreParts(
        restorations=known_restorations,
        objects=counted.CountedStore(
            create_client(known_restorations),
            shared.metrics.count_platform_request,
            shared.on_malformed,
        ),
        configuration=configuration.ConfigurationStore(parse_text),
        freshness=freshness.Freshness(),
        evacuations=_create_evacuations(shared),
    )


def _create_evacuations(shared: shared_parts.SharedParts) -> evacuations.Evacuations:
    known = evacuations.Evacuations()
    last: frozenset[str] = frozenset()

    def record_change(domains: frozenset[str]) -> None:
        nonlocal last
        for domain in sorted(domains - last):
            shared.log.emit("evacuation.begun", domain=domain)
        for domain in sorted(last - domains):
            shared.log.emit("evacuation.ended", domain=domain)
        last = domains

    known.add_listener(record_change)
    shared.metrics.watch_evacuations(lambda: known.domains)
    return known


def log_accepted(log: events.EventLog, store: configuration.ConfigurationStore) -> None:
    """Logs each configuration that comes into force, once the earlier listeners have applied it."""

    def record(accepted: configuration.Configuration) -> None:
        log.emit(
            "configuration.accepted",
            version=str(accepted.version),
            change_id=accepted.change_id,
        )

    store.add_listener(record)
