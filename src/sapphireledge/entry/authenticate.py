"""Authentication of callers and authorization of ranks."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.declarations import Workspace
    from sapphireledge.settings import CallerSettings

__all__ = ["authenticate", "authorize_rank"]


def authenticate(
    headers: Mapping[str, str],
    workspaces: Mapping[str, Workspace],
    token_owners: Mapping[str, str],
    cfg: CallerSettings,
) -> Workspace | Failure:
    """Authenticates a request and determines its workspace.

    A bearer token determines the workspace, and `X-Workspace`, if present, must match it. Without a
    known token, the workspace of `X-Workspace` or the default one is used if it declares no token
    and the settings do not require one.

    Args:
        headers: Request headers with lower-case names.
        workspaces: Declared workspaces by name.
        token_owners: Workspace name by SHA-256 of each declared token, in hexadecimal.
        cfg: Limits of the caller interface.

    Returns:
        The workspace, or the reason for rejecting the request.
    """
    requested = headers.get("x-workspace")
    token = _read_bearer_token(headers)
    if token is not None:
        owner = token_owners.get(hashlib.sha256(token.encode()).hexdigest())
        if owner is not None:
            if requested is not None and requested != owner:
                return Failure(
                    ErrorKind.FORBIDDEN, f"X-Workspace: the token does not belong to {requested!r}"
                )
            return workspaces[owner]
        if cfg.require_token:
            return Failure(ErrorKind.UNAUTHENTICATED, "Authorization: the token is unknown")
    elif cfg.require_token:
        return Failure(ErrorKind.UNAUTHENTICATED, "Authorization: a bearer token is required")
    name = requested if requested is not None else cfg.default_workspace
    workspace = workspaces.get(name)
    if workspace is None:
        return Failure(ErrorKind.UNKNOWN_WORKSPACE, f"X-Workspace: {name!r} is not declared")
    if workspace.token_hashes:
        return Failure(
            ErrorKind.UNAUTHENTICATED, f"Authorization: workspace {name!r} requires its token"
        )
    return workspace


def authorize_rank(workspace: Workspace, rank: str) -> Failure | None:
    """Checks whether a workspace may use a rank.

    Args:
        workspace: The workspace of the request.
        rank: Name of the rank.

    Returns:
        None if it may, otherwise a failure of kind forbidden.
    """
    if workspace.ranks and rank not in workspace.ranks:
        allowed = ", ".join(workspace.ranks)
        reason = f"X-Rank: workspace {workspace.name!r} may use {allowed}, not {rank!r}"
        return Failure(ErrorKind.FORBIDDEN, reason)
    return None


def _read_bearer_token(headers: Mapping[str, str]) -> str | None:
    """Extracts the bearer token, None if there is none."""
    scheme, _, token = headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" and token.strip() else None
