"""Kinds of events and their meaning."""

MEANING_BY_KIND = {
    "attempt.failed": "An attempt at one upstream failed after it may have reached it.",
    "attempt.refused": "An attempt at one upstream was refused and did not run.",
    "call.failed": "A caller's call failed after it may have reached an upstream.",
    "call.late": "A caller's call was answered later than its route's target.",
    "call.refused": "A caller's call was refused and did not run.",
    "call.retried": "A node sends a call again, to another upstream.",
    "configuration.accepted": "The node put a version of the operator's text into force.",
    "dependency.failed": "An upstream's call to a dependency failed; it may have run.",
    "dependency.refused": "An upstream's call to a dependency was refused and did not run.",
    "entry.malformed": (
        "An object, announcement or message of another process cannot be read and is skipped."
    ),
    "key.withdrawn": "An operator withdrew a key through the node.",
    "member.changed": "The service or state of a host's upstream changed.",
    "member.forgotten": "A lost host was removed from the members.",
    "member.joined": "A host became known.",
    "member.lost": "A host counts as lost and receives no more calls.",
    "member.suspected": "A host has been silent for longer than expected.",
    "node.draining": "The stopping node begins to refuse calls that might not end before it.",
    "node.started": "The node has opened its ports.",
    "node.stopping": "The node has begun a graceful shutdown.",
    "store.restored": "The platform's store was restored from an earlier copy, as its epoch shows.",
    "upstream.leaving": "The local upstream says in an answer that it is about to stop.",
    "upstream.limited": "The local upstream names a limit on its calls per second, or another one.",
    "upstream.unlimited": "The local upstream no longer names a limit on its calls per second.",
}

# Prefixes of the kinds of events of single calls; the causes of these events are reasons.
CALL_KIND_PREFIXES = ("attempt.", "call.", "dependency.")
