"""Parsing and validation of declarations from operators or the platform."""

from __future__ import annotations

from typing import Any

import msgspec
from pydantic import TypeAdapter, ValidationError

from sapphireledge.core.declarations.declaration_kind import DeclarationKind
from sapphireledge.core.declarations.deployment import Deployment
from sapphireledge.core.declarations.rank import Rank
from sapphireledge.core.declarations.service import Service
from sapphireledge.core.declarations.workspace import Workspace
from sapphireledge.errors import ErrorKind, Failure

__all__ = ["AnyDeclaration", "parse_declaration"]

AnyDeclaration = Rank | Workspace | Deployment | Service
"""A validated declaration of any kind."""

_ADAPTERS: dict[DeclarationKind, TypeAdapter[Any]] = {
    DeclarationKind.RANK: TypeAdapter(Rank),
    DeclarationKind.WORKSPACE: TypeAdapter(Workspace),
    DeclarationKind.DEPLOYMENT: TypeAdapter(Deployment),
    DeclarationKind.SERVICE: TypeAdapter(Service),
}


def parse_declaration(kind: str, name: str, text: bytes | str) -> AnyDeclaration | Failure:
    """Parses and validates a declaration.

    Args:
        kind: A value of `DeclarationKind`.
        name: Name of the object, which must equal the name in the declaration.
        text: The declaration as JSON.

    Returns:
        The declaration, or a failure that lists every invalid field.
    """
    try:
        adapter = _ADAPTERS[DeclarationKind(kind)]
    except ValueError:
        known = ", ".join(DeclarationKind)
        return Failure(ErrorKind.INVALID_REQUEST, f"kind: {kind!r} is not one of {known}")
    try:
        declared = adapter.validate_python(msgspec.json.decode(text))
    except (msgspec.DecodeError, RecursionError) as exc:
        return Failure(ErrorKind.INVALID_REQUEST, f"{kind}/{name}: invalid JSON: {exc}")
    except ValidationError as exc:
        problems = "; ".join(
            f"{'.'.join(map(str, error['loc'])) or kind}: {error['msg']}" for error in exc.errors()
        )
        return Failure(ErrorKind.INVALID_REQUEST, f"{kind}/{name}: {problems}")
    if declared.name != name:
        reason = f"{kind}/{name}: name: is {declared.name!r}, must be {name!r}"
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    return declared
