"""Leaves the id of a prompt part out of a failure."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.errors import Failure

__all__ = ["PART_REASON", "hide_part"]

PART_REASON = "engines die when they answer requests with the prompt part"
"""Start of the reason of a failure that names a prompt part."""

HIDDEN_REASON = "engines die when they answer requests with one of its prompt parts"
"""Reason that replaces it."""


def hide_part(failure: Failure) -> Failure:
    """Leaves the id of a prompt part out of a failure.

    Args:
        failure: A failure of the quarantine.

    Returns:
        The failure, with another reason if it named a part.
    """
    names_part = failure.reason.startswith(PART_REASON)
    return replace(failure, reason=HIDDEN_REASON) if names_part else failure
