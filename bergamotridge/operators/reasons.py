"""Reasons of refused and failed calls, with their meaning and a remedy."""

import attrs


@attrs.frozen
class Reason:
    """Description of one reason.

    Attributes:
        meaning: What happened, as part of a sentence.
        action: What the operator or the caller can do about it.
    """

    meaning: str
    action: str


REASONS = {
    "target": Reason(
        "the answer came later than the route's target",
        "see its attempts in 'bergamotridge explain': which upstream answered, after how long "
        "and at which load",
    ),
    "upstream-error": Reason(
        "the upstream ran the call and answered with status 5xx",
        "look at the upstream's own log for the request id",
    ),
    "upstream-replaced": Reason(
        "the address now belongs to another upstream than the announced one",
        "nothing, if upstreams are being replaced; else check what listens at the address",
    ),
    "call-id": Reason(
        "the upstream's call to a dependency carried the id of no running call",
        "let the upstream copy the header 'Bergamotridge-Call' of the call that it processes, and "
        "make no calls to dependencies after its answer",
    ),
    "cancelled": Reason(
        "the caller disconnected, or the parent call ended",
        "nothing, unless callers disconnect early: then compare their time limits with the routes'",
    ),
    "claims-full": Reason(
        "this node already stores its maximum number of idempotency keys",
        "spread callers over more nodes, or look for a caller that never reuses a key",
    ),
    "cold": Reason(
        "the upstream is cold, and has got the calls per second that its service's 'cold_rate' "
        "allows",
        "nothing, if it passes within 'cold_start_s'; else look why upstreams start, or become "
        "cold, together",
    ),
    "dependency-rejects": Reason(
        "a service below rejects calls, so that hardly any request on the route completes",
        "look at the upstreams of the service that 'told' names: "
        "'bergamotridge_upstream_rejected_fraction' is high on their hosts",
    ),
    "configuration": Reason(
        "the node has no operator's text yet",
        "wait a few seconds; if it persists, check that the platform or a peer can be reached",
    ),
    "connections": Reason(
        "the maximum number of connections in the settings is already open",
        "let callers keep fewer connections open, or raise the maximum in 'limits'",
    ),
    "crash-suspect": Reason(
        "an upstream has crashed while a request like this one ran, and others like it are tried "
        "first",
        "nothing, if a retry succeeds; else see 'upstream.crashed-under' with the fingerprint of "
        "its line 'call.held-back'",
    ),
    "crashes-upstreams": Reason(
        "several upstreams have crashed while requests like this one ran, so it is held back",
        "find the crashes by the fingerprint of its line 'call.held-back' in the lines "
        "'upstream.crashed-under', mend the upstream; one request at a time is then tried again",
    ),
    "deadline": Reason(
        "the time limit of the call expired, or would have expired before its end",
        "look at the load of the services that it depends on; raise the route's 'timeout_s' only "
        "if they are not overloaded",
    ),
    "dependency": Reason(
        "the operator's text does not allow the service to call this one",
        "add the service to 'depends_on' in the operator's text if the call is intended",
    ),
    "draining": Reason(
        "the upstream or the node on its host is shutting down, or its failure domain is evacuated",
        "nothing; calls go to other hosts within seconds",
    ),
    "idempotency-doubt": Reason(
        "a call with this idempotency key may have run, and its outcome was lost",
        "check in the records of the service whether it ran before sending it again with a new key",
    ),
    "idempotency-forged": Reason(
        "the idempotency key was not issued by this fleet",
        "use the key that a node issued",
    ),
    "idempotency-home": Reason(
        "the node that stores this idempotency key cannot be reached",
        "retry later with the same key",
    ),
    "idempotency-key-reused": Reason(
        "the idempotency key was used for another call",
        "give each call a key of its own",
    ),
    "idempotency-store": Reason(
        "the platform did not confirm the claim of an idempotency key that the caller chose",
        "retry later with the same key; keys that a node issued do not need the platform",
    ),
    "key": Reason(
        "the call carried no key, or one that is unknown or withdrawn",
        "grant a key with 'bergamotridge keys grant'",
    ),
    "keys": Reason(
        "the call carried an unknown key, and the node has not received all keys yet",
        "wait a few seconds; if it persists, check that the platform or a peer can be reached",
    ),
    "node-stopped": Reason(
        "the node was stopped before the call ended, and closed the connection",
        "look for the time of its 'node.stopping': raise 'limits.drain_s' and the time until the "
        "process is killed if calls take longer",
    ),
    "no-upstream": Reason(
        "no ready upstream of the service is known",
        "see 'bergamotridge status' for upstreams that are starting, draining or lost",
    ),
    "node-fault": Reason(
        "a fault of the node ended the call before it was sent to an upstream",
        "report the traceback beside it in the node's log",
    ),
    "node-failed": Reason(
        "the node of another host sent no complete answer",
        "see 'bergamotridge timeline' for that host",
    ),
    "node-refused": Reason(
        "the port of another host's node could not read the call, or it was too long for it",
        "check that all nodes run the same version and have the same 'limits.body_bytes'",
    ),
    "rate": Reason(
        "the team has used up its rate limit and burst",
        "let the team wait for the time in 'Retry-After', or raise its rate in the operator's text",
    ),
    "relay": Reason(
        "a call from another node did not carry the token of the fleet",
        "give all nodes the same 'fleet_secret'",
    ),
    "route": Reason(
        "no route has this method and path",
        "add the route to the operator's text if the call is intended",
    ),
    "shed": Reason(
        "the service is overloaded; calls that are more important, or of teams that have used "
        "less of their fair share, were admitted first",
        "see which service sheds in 'bergamotridge timeline'; add slots or lower its load",
    ),
    "timeout": Reason(
        "the header 'Bergamotridge-Timeout-Ms' is not a whole number above zero",
        "correct the header in the caller",
    ),
    "answer-memory": Reason(
        "the upstream's answer was given up while it was read, as all answers that were being read "
        "held more than 'limits.answers_bytes', or all that the node holds for others more than "
        "'limits.held_bytes', and the answers of this upstream the most",
        "look at what the upstream sends: its answers are long, or have no end; raise "
        "'limits.answers_bytes' if they are as they should be",
    ),
    "request-memory": Reason(
        "there was no room for the body of the request, which was not read, as the node holds too "
        "many bytes for others",
        "see 'bergamotridge_held_bytes' for what holds them; raise 'limits.held_bytes' if the "
        "bodies are as they should be and the machine has the memory",
    ),
    "upstream-crashed": Reason(
        "the upstream's process ended while it ran the call",
        "see the lines 'upstream.crashed-under' of this request: how many upstreams have crashed "
        "under requests like it; look at the upstream's own log and core dump",
    ),
    "upstream-failed": Reason(
        "the upstream closed or refused the connection, or sent no complete answer",
        "look at the upstream's own logs, and for 'refuses more' in the log of its node",
    ),
    "upstream-shed": Reason(
        "the upstream itself refused the call with status 503",
        "compare the 'slots' that it announces with its real capacity",
    ),
}
