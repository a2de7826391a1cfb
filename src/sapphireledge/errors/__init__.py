"""Error kinds, their answers at each interface, and the result type of failed operations."""

from __future__ import annotations

from sapphireledge.errors.conflict_failure import ConflictFailure
from sapphireledge.errors.error_answer import ErrorAnswer
from sapphireledge.errors.error_answers import ERROR_ANSWERS
from sapphireledge.errors.error_kind import ErrorKind
from sapphireledge.errors.failure import Failure
from sapphireledge.errors.ran import Ran

__all__ = ["ERROR_ANSWERS", "ConflictFailure", "ErrorAnswer", "ErrorKind", "Failure", "Ran"]
