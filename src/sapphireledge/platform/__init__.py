"""Clients of the platform: object API and instance list."""

from __future__ import annotations

from sapphireledge.platform.object_page import ObjectPage
from sapphireledge.platform.object_store import ObjectStore
from sapphireledge.platform.stored_object import StoredObject
from sapphireledge.platform.write_result import WriteResult, WriteStatus

__all__ = ["ObjectPage", "ObjectStore", "StoredObject", "WriteResult", "WriteStatus"]
