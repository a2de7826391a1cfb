"""A part of a prompt."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PromptPart"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; engines keep it for other prompts that begin with the same parts."""

    part_id: str
    """Id of the part, equal in all prompts that share it."""

    tokens: int
    """Length in tokens, 0 if unknown."""
