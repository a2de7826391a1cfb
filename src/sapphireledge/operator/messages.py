"""Thrift types of schema/operator.thrift, where their fields are documented."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.rpc import load_schema

if TYPE_CHECKING:
    from typing import Any

__all__ = [
    "ApplyResult",
    "BackendStatus",
    "ChangeMessage",
    "ChangeRecordMessage",
    "DeclarationMessage",
    "DiffEntry",
    "EntryStatus",
    "ExplainChance",
    "ExplainCheck",
    "ExplainRequest",
    "ExplainResult",
    "ExplainServer",
    "ExplainTerm",
    "ExplainWaiting",
    "OperatorError",
    "OperatorService",
    "OrderResultMessage",
    "PromptPartMessage",
    "QuarantineEntry",
    "RanState",
    "RankStatus",
    "ReplayEvent",
    "ReplayResult",
    "Status",
    "WorkspaceStatus",
]

_SCHEMA: Any = load_schema("operator")

ApplyResult = _SCHEMA.ApplyResult
BackendStatus = _SCHEMA.BackendStatus
ChangeMessage = _SCHEMA.Change
ChangeRecordMessage = _SCHEMA.ChangeRecord
DeclarationMessage = _SCHEMA.Declaration
DiffEntry = _SCHEMA.DiffEntry
EntryStatus = _SCHEMA.EntryStatus
ExplainChance = _SCHEMA.ExplainChance
ExplainCheck = _SCHEMA.ExplainCheck
ExplainRequest = _SCHEMA.ExplainRequest
ExplainResult = _SCHEMA.ExplainResult
ExplainServer = _SCHEMA.ExplainServer
ExplainTerm = _SCHEMA.ExplainTerm
ExplainWaiting = _SCHEMA.ExplainWaiting
OperatorError = _SCHEMA.OperatorError
OperatorService = _SCHEMA.Operator
OrderResultMessage = _SCHEMA.OrderResult
PromptPartMessage = _SCHEMA.PromptPart
QuarantineEntry = _SCHEMA.QuarantineEntry
RanState = _SCHEMA.RanState
RankStatus = _SCHEMA.RankStatus
ReplayEvent = _SCHEMA.ReplayEvent
ReplayResult = _SCHEMA.ReplayResult
Status = _SCHEMA.Status
WorkspaceStatus = _SCHEMA.WorkspaceStatus
