"""Content of a request, by which crashes are attributed to it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RequestContent"]


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What identifies the content of a request, whichever caller sends it under which id."""

    fingerprint: str
    """Fingerprint of the whole content; equal for repetitions of the request."""

    parts: tuple[str, ...] = ()
    """Ids of the prompt's parts that other requests can share, in order."""

    service: str = ""
    """Service that runs the request."""

    scope: str = ""
    """Caller and route of a request without parts, such as a plain one; other requests can have
    the same scope. Empty for a request with parts."""
