"""Application of operators' changes, and the declarations in force."""

from __future__ import annotations

from sapphireledge.core.config.change import ApplyResult, Author, Change, DiffEntry
from sapphireledge.core.config.change_applier import ChangeApplier
from sapphireledge.core.config.change_record import CHANGE_PREFIX, ChangeRecord
from sapphireledge.core.config.config_state import ConfigState, ObjectOutcome
from sapphireledge.core.config.declaration_index import DeclarationIndex
from sapphireledge.core.config.stored_declaration import (
    CONFIG_PREFIX,
    StoredDeclaration,
    config_key,
    split_config_key,
)

__all__ = [
    "CHANGE_PREFIX",
    "CONFIG_PREFIX",
    "ApplyResult",
    "Author",
    "Change",
    "ChangeApplier",
    "ChangeRecord",
    "ConfigState",
    "DeclarationIndex",
    "DiffEntry",
    "ObjectOutcome",
    "StoredDeclaration",
    "config_key",
    "split_config_key",
]
