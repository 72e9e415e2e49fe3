"""Reasons for which calls are refused or fail: what each means and what to do."""

import attrs


@attrs.frozen
class Reason:
    """One reason.

    Attributes:
        meaning: What happened, as part of a sentence.
        action: What an operator or caller can do.
    """

    meaning: str
    action: str


REASONS = {
    "target": Reason(
        "the answer came later than the route's target",
        "read the lines of its attempts: which upstream, how long, and how loaded it was",
    ),
    "upstream-error": Reason(
        "the upstream ran the call and answered with status 5xx",
        "look at the upstream's own log for the request id",
    ),
    "upstream-replaced": Reason(
        "another upstream than the announced one has the address",
        "nothing, if upstreams are being replaced; else check what listens at the address",
    ),
    "call-id": Reason(
        "the upstream's call to a dependency named no call that is running",
        "let the upstream pass on the header 'Bergamotridge-Call' of the call it works on, and "
        "make no calls to dependencies after its answer",
    ),
    "cancelled": Reason(
        "the caller left, or the call above this one ended",
        "nothing, unless callers leave early: then compare their time limits with the routes'",
    ),
    "claims-full": Reason(
        "this node keeps as many idempotency keys as it can",
        "spread callers over more nodes, or look for a caller that never reuses a key",
    ),
    "configuration": Reason(
        "the node has no operator's text yet",
        "wait a few seconds; if it lasts, check that the platform or a peer can be reached",
    ),
    "connections": Reason(
        "as many connections are open as the settings allow",
        "let callers keep fewer connections, or raise the bound in 'limits'",
    ),
    "deadline": Reason(
        "the time limit of the call ran out, or would have run out before its end",
        "look at the load of the services below; raise the route's 'timeout_s' only if they are "
        "not overloaded",
    ),
    "dependency": Reason(
        "the operator's text does not let the service call this one",
        "add the service to 'depends_on' in the operator's text if the call is meant",
    ),
    "draining": Reason(
        "the upstream or the node beside it is shutting down",
        "nothing; calls go to other hosts within seconds",
    ),
    "idempotency-doubt": Reason(
        "a call with this idempotency key may have run, and its outcome is lost",
        "find out in the records of the service whether it ran before giving it a new key",
    ),
    "idempotency-forged": Reason(
        "the idempotency key was not handed out by this fleet",
        "use the key that a node handed out",
    ),
    "idempotency-home": Reason(
        "the node that keeps this idempotency key cannot be reached",
        "repeat with the same key later",
    ),
    "idempotency-key-reused": Reason(
        "the idempotency key was used for another call",
        "give each call a key of its own",
    ),
    "idempotency-store": Reason(
        "the platform did not confirm the claim of an idempotency key that the caller chose",
        "repeat with the same key later; keys that a node handed out need no platform",
    ),
    "key": Reason(
        "the call carried no key, or one that is unknown or withdrawn",
        "grant a key with 'bergamotridge keys grant'",
    ),
    "no-upstream": Reason(
        "no ready upstream of the service is known",
        "see 'bergamotridge status' for upstreams that are starting, draining or lost",
    ),
    "node-failed": Reason(
        "the node of another host gave no whole answer",
        "see 'bergamotridge timeline' for that host",
    ),
    "rate": Reason(
        "the team has used up its rate and burst",
        "let the team wait as 'Retry-After' says, or raise its rate in the operator's text",
    ),
    "relay": Reason(
        "a call from another node did not carry the fleet's token",
        "give all nodes the same 'fleet_secret'",
    ),
    "route": Reason(
        "no route has this method and path",
        "add the route to the operator's text if the call is meant",
    ),
    "shed": Reason(
        "the service is overloaded and more important or fairer calls went first",
        "see which service sheds in 'bergamotridge timeline'; add slots or lower its load",
    ),
    "timeout": Reason(
        "the header 'Bergamotridge-Timeout-Ms' is not a whole number above zero",
        "correct the caller",
    ),
    "upstream-failed": Reason(
        "the upstream closed the connection or gave no whole answer",
        "look at the upstream's own logs",
    ),
    "upstream-shed": Reason(
        "the upstream itself refused with status 503",
        "compare the 'slots' it announces with what it can take",
    ),
}
