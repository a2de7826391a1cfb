"""Routing requirements of a request."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RouteRequest"]


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Requirements that a request places on its backend server."""

    model: str = ""
    """Model name; empty for a plain service."""

    version: str = ""
    """Model version; empty for a plain service."""

    role: str = "drafting"
    """Role of the engine, or name of the plain service."""

    prompt_tokens: int = 0
    """Length of the prompt in tokens; for a resume, including the text generated so far."""

    output_tokens: int = 0
    """Expected length of the output in tokens."""

    prefixes: tuple[int, ...] = ()
    """Result of `hash_prefixes` for the prompt."""

    prefer: tuple[str, ...] = ()
    """Preferred backend servers; the first that can run the request is chosen."""

    avoid: tuple[str, ...] = ()
    """Backend servers to use only if no other is available."""

    suspect: bool = False
    """Whether the request is a suspect in engine deaths.

    It joins an isolated request only if no other backend server can run it.
    """

    isolate: bool = False
    """Whether the request may run only where no other suspect runs."""

    resume: bool = False
    """Whether part of the answer was delivered, so that only this model version can continue it."""

    software: str | None = None
    """Software version that generated that part; None if it is not known."""
