"""Messages about suspects between nodes; times travel as ages, so clocks need not agree."""

from collections.abc import Iterable

from bergamotridge.nodes import suspects, suspects_pb2, trials

MILLIS_PER_S = 1000
MAX_EVIDENCE_PER_MESSAGE = 1024
MAX_AGE_MS = 2**32 - 1

_RULING_BY_WIRE = {
    suspects_pb2.FREE: trials.Ruling.FREE,
    suspects_pb2.TRIAL: trials.Ruling.TRIAL,
    suspects_pb2.HELD: trials.Ruling.HELD,
}
_WIRE_BY_RULING = {ruling: wire for wire, ruling in _RULING_BY_WIRE.items()}


def encode_evidence(evidence: suspects.Evidence, now: float) -> suspects_pb2.FingerprintEvidence:
    """Returns the message of one fingerprint, sent at monotonic time `now` (seconds)."""
    encoded = suspects_pb2.FingerprintEvidence(fingerprint=evidence.fingerprint)
    for crashes, cleared in ((evidence.crashes, False), (evidence.cleared, True)):
        for crash in crashes:
            age_ms = max(0, min(MAX_AGE_MS, int((now - crash.crashed_at) * MILLIS_PER_S)))
            encoded.crashes.add(
                crash_id=crash.crash_id, age_ms=age_ms, cleared=cleared, doubtful=crash.doubtful
            )
    return encoded


def decode_evidence(received: suspects_pb2.FingerprintEvidence, now: float) -> suspects.Evidence:
    """Returns the evidence in a message that arrived at monotonic time `now` (seconds)."""
    crashes: list[suspects.Crash] = []
    cleared: list[suspects.Crash] = []
    for item in received.crashes[: 2 * suspects.MAX_CRASHES_PER_SUSPECT]:
        crashed_at = now - item.age_ms / MILLIS_PER_S
        crash = suspects.Crash(item.crash_id, crashed_at, item.doubtful)
        (cleared if item.cleared else crashes).append(crash)
    return suspects.Evidence(received.fingerprint, tuple(crashes), tuple(cleared))


def encode_list(
    evidence: Iterable[suspects.Evidence], now: float, *, wants_all: bool = False
) -> suspects_pb2.EvidenceList:
    """Returns a message with evidence; see `suspects_pb2.EvidenceList`."""
    encoded = [encode_evidence(item, now) for item in evidence]
    return suspects_pb2.EvidenceList(
        evidence=encoded[:MAX_EVIDENCE_PER_MESSAGE], wants_all=wants_all
    )


def decode_list(received: suspects_pb2.EvidenceList, now: float) -> list[suspects.Evidence]:
    """Returns the evidence in a message, no more than a node sends."""
    return [decode_evidence(item, now) for item in received.evidence[:MAX_EVIDENCE_PER_MESSAGE]]


def encode_decision(
    decision: trials.Decision, evidence: suspects.Evidence, now: float
) -> suspects_pb2.TrialDecision:
    """Returns the message of an arbiter's decision and of the evidence behind it."""
    return suspects_pb2.TrialDecision(
        ruling=_WIRE_BY_RULING.get(decision.ruling, suspects_pb2.WAIT),
        wait_ms=int(decision.wait_s * MILLIS_PER_S),
        trial_id=decision.trial_id,
        evidence=encode_evidence(evidence, now),
    )


def decode_decision(received: suspects_pb2.TrialDecision) -> trials.Decision:
    """Returns the decision in a message; a ruling that is not known is WAIT."""
    ruling = _RULING_BY_WIRE.get(received.ruling, trials.Ruling.WAIT)
    return trials.Decision(ruling, received.wait_ms / MILLIS_PER_S, received.trial_id)
