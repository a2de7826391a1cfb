"""Reads declarations from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.config import CONFIG_PREFIX, StoredDeclaration, config_key, split_config_key
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.operator.messages import DeclarationMessage

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.objects import ObjectStore, StoredObject

__all__ = ["DeclarationReader"]

PAGE_SIZE = 500
"""Declarations per page of a listing."""


class DeclarationReader:
    """Reads declarations from the platform rather than from this instance, which may lag behind."""

    def __init__(self, store: ObjectStore) -> None:
        """Creates the reader.

        Args:
            store: The platform's object API.
        """
        self._store = store

    async def get(self, kind: str, name: str) -> Any | Failure:
        """Reads one declaration.

        Args:
            kind: Kind of the object.
            name: Name of the object.

        Returns:
            A Declaration message, for a deleted object with its version and an empty spec; or a
            failure, NOT_FOUND if the object was never declared.
        """
        stored = await self._store.get(config_key(kind, name))
        if isinstance(stored, Failure):
            return stored
        if stored is None:
            return Failure(ErrorKind.NOT_FOUND, f"{kind}/{name} is not declared")
        return _to_message(stored)

    async def list(self, kind: str) -> list[Any] | Failure:
        """Lists the declarations of one kind.

        Args:
            kind: Kind of the objects.

        Returns:
            Declaration messages sorted by name, without deleted objects; or a failure.
        """
        rows: list[Any] = []
        after = ""
        while True:
            page = await self._store.list(f"{CONFIG_PREFIX}{kind}/", after, PAGE_SIZE)
            if isinstance(page, Failure):
                return page
            rows.extend(_to_message(found) for found in page.objects)
            after = page.next_after
            if not after:
                return [row for row in rows if not row.deleted]


def _to_message(found: StoredObject) -> Any:
    """Converts a stored declaration; an undecodable one counts as deleted."""
    kind, name = split_config_key(found.key)
    stored = StoredDeclaration.decode(found.value)
    spec = stored.spec if stored is not None else ""
    deleted = stored is None or stored.deleted
    return DeclarationMessage(kind, name, spec, found.version, deleted)
