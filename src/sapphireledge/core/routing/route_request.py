"""What a request needs of a backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RouteRequest"]


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What a request needs of a backend server."""

    model: str = ""
    """Model name; empty for a plain service."""

    version: str = ""
    """Model version; empty for a plain service."""

    role: str = "drafting"
    """Role of the engine, or name of the plain service."""

    prompt_tokens: int = 0
    """Length of the prompt, with the text so far of a resume, in tokens."""

    output_tokens: int = 0
    """Expected output in tokens."""

    prefixes: tuple[int, ...] = ()
    """Result of `hash_prefixes`."""

    prefer: tuple[str, ...] = ()
    """Backend servers to take if they can run it, the first that can."""

    avoid: tuple[str, ...] = ()
    """Backend servers to take only if no other is left."""

    suspect: bool = False
    """Whether deaths count against the request; it does not join an isolated one."""

    isolate: bool = False
    """Whether the request runs only where no other suspect runs."""

    resume: bool = False
    """Whether part of the answer was delivered, so that only this version can go on."""
