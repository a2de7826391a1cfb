"""Index over the declarations in force, for lookups without a scan."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from sapphireledge.core.declarations import Deployment, Workspace

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.declarations import AnyDeclaration

__all__ = ["DeclarationIndex"]


class DeclarationIndex:
    """Index of workspaces by token and of deployments by model, updated with each change."""

    def __init__(self) -> None:
        self._token_owners: dict[str, str] = {}
        self._by_model: dict[str, dict[str, Deployment]] = {}

    @property
    def token_owners(self) -> Mapping[str, str]:
        """Workspace name by SHA-256 of each declared token, in hexadecimal."""
        return MappingProxyType(self._token_owners)

    def deployment_for(self, model: str) -> Deployment | None:
        """Finds the deployment that serves a model.

        Args:
            model: Model name.

        Returns:
            The deployment, the first by name if there are several, or None if there is none.
        """
        found = self._by_model.get(model)
        return found[min(found)] if found else None

    def versions_of(self, model: str) -> tuple[str, ...]:
        """Lists the declared versions of a model.

        Args:
            model: Model name.

        Returns:
            The versions, ordered by the names of their deployments.
        """
        found = self._by_model.get(model, {})
        return tuple(found[name].version for name in sorted(found))

    def replace(self, old: AnyDeclaration | None, new: AnyDeclaration | None) -> None:
        """Updates the index for a change of one declaration.

        Args:
            old: The previous declaration, None if there was none.
            new: The declaration in force now, None for a deletion.
        """
        if isinstance(old, Workspace):
            for token in old.token_hashes:
                if self._token_owners.get(token) == old.name:
                    del self._token_owners[token]
        elif isinstance(old, Deployment):
            deployments = self._by_model[old.model]
            del deployments[old.name]
            if not deployments:
                del self._by_model[old.model]
        if isinstance(new, Workspace):
            self._token_owners.update(dict.fromkeys(new.token_hashes, new.name))
        elif isinstance(new, Deployment):
            self._by_model.setdefault(new.model, {})[new.name] = new
