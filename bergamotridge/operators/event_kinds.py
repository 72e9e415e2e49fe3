"""Kinds of events and their meaning."""

MEANING_BY_KIND = {
    "attempt.failed": "An attempt at one upstream failed after it may have reached it.",
    "attempt.refused": "An attempt at one upstream was refused and did not run.",
    "call.failed": "A caller's call failed after it may have reached an upstream.",
    "call.held-back": "A call did not run since upstreams have crashed under requests like it.",
    "call.late": "A caller's call was answered later than its route's target.",
    "call.overdue": (
        "A caller's call has no answer although its time was over; reported once for each call."
    ),
    "call.refused": "A caller's call was refused and did not run.",
    "call.retried": "A node sends a call again, to another upstream.",
    "call.revoked": "A running call was cancelled since upstreams crash under requests like it.",
    "configuration.accepted": "The node put a version of the operator's text into force.",
    "dependency.failed": "An upstream's call to a dependency failed; it may have run.",
    "dependency.refused": "An upstream's call to a dependency was refused and did not run.",
    "entry.malformed": (
        "An object, announcement or message of another process cannot be read and is skipped."
    ),
    "evacuation.begun": "A failure domain is evacuated: its upstreams get no calls.",
    "evacuation.ended": "The evacuation of a failure domain has been taken back.",
    "key.withdrawn": "An operator withdrew a key through the node.",
    "member.changed": "The service or state of a host's upstream changed.",
    "member.forgotten": "A lost host was removed from the members.",
    "member.joined": "A host became known.",
    "member.lost": "A host counts as lost and receives no more calls.",
    "member.suspected": "A host has been silent for longer than expected.",
    "node.draining": "The stopping node begins to refuse calls that might not end before it.",
    "node.part-ended": "A part of the stopping node has ended; tells how long that took.",
    "node.part-held": "A part took too long to end; the node stopped without waiting for it.",
    "node.started": "The node has opened its ports.",
    "node.stopping": "The node has begun a graceful shutdown.",
    "store.restored": "The platform's store was restored from an earlier copy, as its epoch shows.",
    "suspect.cleared": "A request under whose like several upstreams had crashed was answered.",
    "suspect.not-cleared": "The trial of such a request ended without an answer.",
    "suspect.tried": "A request under whose like several upstreams have crashed runs as a trial.",
    "upstream.cold": "The local upstream is cold, and its calls per second are bounded.",
    "upstream.crashed": "The local upstream ended with calls under way and without leaving.",
    "upstream.crashed-under": "A call ran at the local upstream when it crashed; a few per crash.",
    "upstream.leaving": "The local upstream says in an answer that it is about to stop.",
    "upstream.limited": "The local upstream names a limit on its calls per second, or another one.",
    "upstream.report-held": (
        "A report says that the local upstream is ready, and may be from before it left."
    ),
    "upstream.report-probed": "The node asked the upstream for proof; the cause is the result.",
    "upstream.report-proven": "The local upstream is alive, and the reports held back count.",
    "upstream.unlimited": "The local upstream no longer names a limit on its calls per second.",
}

# Prefixes of the kinds of events of single calls; the causes of these events are reasons.
CALL_KIND_PREFIXES = ("attempt.", "call.", "dependency.")
