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
    """Versioned objects with conditional writes and watches."""

    async def get(self, key: str) -> StoredObject | Failure | None:
        """Reads one object.

        Args:
            key: Key of the object.

        Returns:
            The object, None if it does not exist, or a failure of kind platform_unavailable.
        """
        ...

    async def put(self, key: str, value: bytes, expect_version: int) -> WriteResult:
        """Writes an object if it is at the expected version.

        Args:
            key: Key of the object.
            value: New value, at most 1 MB.
            expect_version: Version that the object must have; 0 means that it must not exist.

        Returns:
            How the write ended.
        """
        ...

    async def delete(self, key: str, expect_version: int) -> WriteResult:
        """Deletes an object if it is at the expected version.

        Args:
            key: Key of the object.
            expect_version: Version that the object must have.

        Returns:
            How the deletion ended.
        """
        ...

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> ObjectPage | Failure:
        """Lists the objects below a prefix.

        Args:
            prefix: Start of the keys.
            after: Key to continue after.
            limit: Most objects on the page.

        Returns:
            One page, or a failure of kind platform_unavailable.
        """
        ...

    async def watch(self, prefix: str, from_version: int, wait: float) -> ObjectPage | Failure:
        """Waits for writes below a prefix; counts as one call.

        Args:
            prefix: Start of the keys.
            from_version: Version after which writes are returned.
            wait: Longest wait in seconds.

        Returns:
            Writes in the order of their versions, empty when the wait ended without one, with
            the version of the store that they reach, from which the next watch goes on; or a
            failure: not_found when the version is too old to watch from and a new listing is
            needed, otherwise platform_unavailable.
        """
        ...
