"""Interface of the platform's object API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.errors import Failure
    from sapphireledge.objects.object_page import ObjectPage
    from sapphireledge.objects.stored_object import StoredObject
    from sapphireledge.objects.write_result import WriteResult

__all__ = ["ObjectStore"]


class ObjectStore(Protocol):
    """Store of versioned objects with conditional writes and watches."""

    async def get(self, key: str) -> StoredObject | Failure | None:
        """Reads one object.

        Args:
            key: Key of the object.

        Returns:
            The object, None if it does not exist, or a failure of kind platform_unavailable.
        """
        ...

    async def put(self, key: str, value: bytes, expect_version: int) -> WriteResult:
        """Writes an object if its current version is the expected one.

        Args:
            key: Key of the object.
            value: New value, at most 1 MB.
            expect_version: Version that the object must have; 0 means that it must not exist.

        Returns:
            How the write ended.
        """
        ...

    async def delete(self, key: str, expect_version: int) -> WriteResult:
        """Deletes an object if its current version is the expected one.

        Args:
            key: Key of the object.
            expect_version: Version that the object must have.

        Returns:
            How the deletion ended.
        """
        ...

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> ObjectPage | Failure:
        """Lists the objects whose keys start with a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Key after which the page starts, empty for the first page.
            limit: Maximum number of objects on the page.

        Returns:
            One page, or a failure of kind platform_unavailable.
        """
        ...

    async def watch(self, prefix: str, from_version: int, wait: float) -> ObjectPage | Failure:
        """Waits for writes to keys with a prefix (long poll); counts as one call.

        Args:
            prefix: Prefix of the keys.
            from_version: Version after which writes are returned.
            wait: Maximum time to wait in seconds.

        Returns:
            Writes ordered by version, empty if there were none within the wait, with the store
            version from which the next watch continues; or a failure: not_found if from_version
            is too old to watch from, so that a new listing is needed, otherwise
            platform_unavailable.
        """
        ...
