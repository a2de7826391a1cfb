"""Request that an operator asks about."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.placement import PromptPart

__all__ = ["Question"]


@dataclass(frozen=True, slots=True)
class Question:
    """Request that an operator asks about; it contains no key and no text of a prompt."""

    host: str = ""
    """Host of the request, on the gateway."""

    path: str = ""
    """Path of the request, on the gateway."""

    method: str = "POST"
    """HTTP method."""

    workspace: str = ""
    """Name of the workspace."""

    rank: str = ""
    """Rank; on the gateway, to choose among the keys of the workspace."""

    model: str = ""
    """Model, on the own interface."""

    service: str = ""
    """Plain service, on the own interface; on the gateway, to choose among those of the route."""

    prompt_tokens: int = 0
    """Length of the prompt in tokens, 0 to add up the parts."""

    output_tokens: int = 0
    """Largest number of tokens to generate, 0 if unknown."""

    parts: tuple[PromptPart, ...] = ()
    """Parts of the prompt in order, by id and length."""

    deadline: float | None = None
    """Seconds that the caller waits, None if it does not say."""

    last_event: int | None = None
    """Number of the last event that the caller received, if it resumes a stream."""

    first_attempt: str = ""
    """Id of the caller's attempt that brought the first event, if it resumes a stream; on the
    gateway, whose engines can have several software versions."""

    fresh: bool = False
    """Whether the load reports that a placement would ask for are fetched first."""

    @property
    def prompt_length(self) -> int:
        """Length of the prompt in tokens, 0 if unknown."""
        return self.prompt_tokens or sum(part.tokens for part in self.parts)
