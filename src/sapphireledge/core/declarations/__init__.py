"""Declarations by operators: ranks, workspaces, deployments and services."""

from __future__ import annotations

from sapphireledge.core.declarations.declaration_kind import DeclarationKind
from sapphireledge.core.declarations.deployment import Deployment
from sapphireledge.core.declarations.parse_declaration import AnyDeclaration, parse_declaration
from sapphireledge.core.declarations.rank import Rank
from sapphireledge.core.declarations.service import Service
from sapphireledge.core.declarations.workspace import Workspace

__all__ = [
    "AnyDeclaration",
    "DeclarationKind",
    "Deployment",
    "Rank",
    "Service",
    "Workspace",
    "parse_declaration",
]
