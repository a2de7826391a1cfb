"""Reading of stored declarations."""

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
"""Declarations listed at once."""


class DeclarationReader:
    """Reads declarations from the platform, so that an operator sees the latest version."""

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
            name: Its name.

        Returns:
            A Declaration message; a deleted object has its version and no content.
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
            Declaration messages in the order of their names, without deleted ones.
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
    """Builds the message of a stored declaration."""
    kind, name = split_config_key(found.key)
    stored = StoredDeclaration.decode(found.value)
    spec = stored.spec if stored is not None else ""
    deleted = stored is None or stored.deleted
    return DeclarationMessage(kind, name, spec, found.version, deleted)
