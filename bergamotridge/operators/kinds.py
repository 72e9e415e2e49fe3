"""Kinds of events and what each tells."""

KINDS = {
    "attempt.failed": "An attempt at one upstream failed after it may have reached it.",
    "attempt.refused": "An attempt at one upstream was refused and did not run.",
    "call.failed": "A caller's call failed after it may have reached an upstream.",
    "call.late": "A caller's call was answered later than its route's target.",
    "call.refused": "A caller's call was refused and did not run.",
    "call.retried": "A node sends a call again, to another upstream.",
    "configuration.accepted": "A version of the operator's text came into force on the node.",
    "dependency.failed": "An upstream's call to a dependency failed; that may have run.",
    "dependency.refused": "An upstream's call to a dependency was refused and did not run.",
    "key.withdrawn": "An operator withdrew a key through the node.",
    "member.changed": "News of a host: its upstream's service or state changed.",
    "member.forgotten": "A lost host is no longer kept.",
    "member.joined": "A host became known.",
    "member.lost": "A host is taken for lost; it gets no more calls.",
    "member.suspected": "A host has been silent for longer than it should.",
    "node.started": "The node has opened its ports.",
    "node.stopping": "The node has begun a graceful shutdown.",
}

# Kinds of events of single calls; their causes are reasons.
OF_CALLS = ("attempt.", "call.", "dependency.")
