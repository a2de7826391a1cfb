"""Request target of a call to a stand-in."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import unquote

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RequestTarget"]

_CHARACTERS = r"(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*"
_TARGET = re.compile(rf"/(?P<path>{_CHARACTERS})(?:\?(?P<query>(?:{_CHARACTERS}|\?)*))?")
"""Path and query of RFC 3986."""


@dataclass(frozen=True)
class RequestTarget:
    """Decoded path and query of a request."""

    segments: tuple[str, ...]
    """Segments of the path."""

    query: dict[str, str]
    """Values by name."""

    @classmethod
    def parse(cls, target: str, decode_value: Callable[[str], str]) -> RequestTarget | None:
        """Parses a target strictly; what follows a `#` is no part of it.

        Args:
            target: Target as it was sent.
            decode_value: Decodes a value of the query.

        Returns:
            The parsed target, None if it has characters that must be encoded.
        """
        match = _TARGET.fullmatch(target.partition("#")[0])
        if match is None:
            return None
        fields = (field.partition("=") for field in (match["query"] or "").split("&") if field)
        return cls(
            tuple(unquote(segment) for segment in match["path"].split("/")),
            {unquote(name): decode_value(value) for name, _, value in fields},
        )
