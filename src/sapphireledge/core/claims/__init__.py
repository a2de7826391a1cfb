"""At-most-once execution of non-idempotent requests.

A request is identified by its idempotency key. Before it is sent, an entry instance creates a claim
for the key in the object store; only the creator of the claim may send the request. If the claim
cannot be confirmed, all entries are asked to void the key, that is to promise never to run it. If
all of them confirm that they have not received the key from another call, this proves that the
request did not run.
"""

from __future__ import annotations

from sapphireledge.core.claims.claim import Claim, ClaimState
from sapphireledge.core.claims.claim_call import ClaimCall
from sapphireledge.core.claims.claim_machine import ClaimMachine
from sapphireledge.core.claims.decisions import (
    Answer,
    ClaimDecision,
    DispatchOnce,
    ProveNotRun,
    ReadClaim,
    RecordOutcome,
    Wait,
    WriteClaim,
)
from sapphireledge.core.claims.idempotency_key import (
    CLAIM_PREFIX,
    IdempotencyKey,
    claim_bucket,
    is_claim_key,
    parse_idempotency_key,
)
from sapphireledge.core.claims.received_keys import KeyStatus, ReceivedKeys
from sapphireledge.core.claims.service_outcome import ServiceOutcome
from sapphireledge.core.claims.service_reply import NoResponse, NotSent, ServiceReply
from sapphireledge.core.claims.void_answer import VoidAnswer

__all__ = [
    "CLAIM_PREFIX",
    "Answer",
    "Claim",
    "ClaimCall",
    "ClaimDecision",
    "ClaimMachine",
    "ClaimState",
    "DispatchOnce",
    "IdempotencyKey",
    "KeyStatus",
    "NoResponse",
    "NotSent",
    "ProveNotRun",
    "ReadClaim",
    "ReceivedKeys",
    "RecordOutcome",
    "ServiceOutcome",
    "ServiceReply",
    "VoidAnswer",
    "Wait",
    "WriteClaim",
    "claim_bucket",
    "is_claim_key",
    "parse_idempotency_key",
]
