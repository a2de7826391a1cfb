"""Declarations in force at one instance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from sapphireledge.core.config.declaration_index import DeclarationIndex
from sapphireledge.core.config.stored_declaration import (
    StoredDeclaration,
    config_key,
    split_config_key,
)
from sapphireledge.core.declarations import DeclarationKind, parse_declaration
from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sapphireledge.core.declarations import (
        AnyDeclaration,
        Deployment,
        Rank,
        Service,
        Workspace,
    )
    from sapphireledge.objects import StoredObject

__all__ = ["ConfigState", "ObjectOutcome"]


class ObjectOutcome(Enum):
    """Outcome of applying a stored object."""

    APPLIED = "applied"
    """The version is in force."""

    OLDER = "older"
    """The version is stale: the same or a newer one was received before."""

    REJECTED = "rejected"
    """The version is invalid; the last valid one stays in force."""


@dataclass(slots=True)
class _Entry:
    """Known versions of one object."""

    latest: StoredObject
    """The newest version, valid or not."""

    last_valid: StoredObject | None = None
    """The version in force, None before the first valid one."""


class ConfigState:
    """Declarations in force at one instance; the version of an object never decreases."""

    def __init__(self) -> None:
        self.applied_version = 0
        """Version up to which every object has been applied or rejected."""

        self.highest_version = 0
        """Highest object version seen by this instance, applied or not."""

        self.is_configured = False
        """Whether a complete set of objects has been received from the platform or a peer."""

        self.rejected: dict[str, Failure] = {}
        """Failures by key of the objects whose newest version is invalid."""

        self.index = DeclarationIndex()
        """Index over the declarations in force."""

        self._entries: dict[str, _Entry] = {}
        self._declared: dict[str, dict[str, Any]] = {kind.value: {} for kind in DeclarationKind}

    @property
    def ranks(self) -> Mapping[str, Rank]:
        """Ranks by name."""
        return MappingProxyType(self._declared[DeclarationKind.RANK])

    @property
    def workspaces(self) -> Mapping[str, Workspace]:
        """Workspaces by name."""
        return MappingProxyType(self._declared[DeclarationKind.WORKSPACE])

    @property
    def deployments(self) -> Mapping[str, Deployment]:
        """Deployments by name."""
        return MappingProxyType(self._declared[DeclarationKind.DEPLOYMENT])

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return MappingProxyType(self._declared[DeclarationKind.SERVICE])

    @property
    def is_ready(self) -> bool:
        """Whether a new instance may accept work: it has applied every version that it has seen."""
        return self.is_configured and self.applied_version >= self.highest_version

    def apply(self, stored: StoredObject) -> ObjectOutcome:
        """Applies one object from the platform's watch.

        Args:
            stored: The object, a tombstone or a deletion.

        Returns:
            The outcome.
        """
        self.observe_version(stored.version)
        return self._apply_newer(stored)

    def mark_synced_to(self, version: int) -> None:
        """Records that the watch has delivered everything up to a version.

        Args:
            version: Version of the store.
        """
        self.is_configured = True
        known = (entry.latest.version for entry in self._entries.values())
        covered = max((found for found in known if found <= version), default=0)
        self.applied_version = max(self.applied_version, covered)

    def apply_peer_objects(self, since: int, stored: Iterable[StoredObject], version: int) -> bool:
        """Applies the objects that a peer returned for a request since a version.

        Args:
            since: Version after which objects were requested.
            stored: Objects returned by the peer.
            version: Version up to which the peer had applied all objects.

        Returns:
            Whether `applied_version` has advanced.
        """
        self.observe_version(version)
        for found in stored:
            self.observe_version(found.version)
            self._apply_newer(found)
        if since > self.applied_version or version <= 0:
            return False
        advanced = version > self.applied_version
        self.applied_version = max(self.applied_version, version)
        self.is_configured = True
        return advanced

    def observe_version(self, version: int) -> None:
        """Records that a version exists, in force here or not.

        Args:
            version: Version of an object.
        """
        self.highest_version = max(self.highest_version, version)

    def objects_since(self, version: int) -> tuple[StoredObject, ...]:
        """Collects the objects that a peer is missing.

        Args:
            version: Version up to which the peer has all objects.

        Returns:
            Objects in ascending order of version. An invalid object is preceded by its last valid
            version, so that the peer keeps the same declaration in force.
        """
        found: dict[int, StoredObject] = {}
        for entry in self._entries.values():
            if entry.latest.version > version:
                found[entry.latest.version] = entry.latest
                if entry.last_valid is not None:
                    found[entry.last_valid.version] = entry.last_valid
        return tuple(found[key] for key in sorted(found))

    def version_of(self, kind: str, name: str) -> int:
        """Returns the version in force of one declaration.

        Args:
            kind: A value of `DeclarationKind`.
            name: Name of the declared object.

        Returns:
            The version, 0 if no version is in force.
        """
        entry = self._entries.get(config_key(kind, name))
        return entry.last_valid.version if entry is not None and entry.last_valid is not None else 0

    def _apply_newer(self, stored: StoredObject) -> ObjectOutcome:
        """Applies one object unless it is stale or invalid."""
        entry = self._entries.get(stored.key)
        if entry is not None and stored.version <= entry.latest.version:
            return ObjectOutcome.OLDER
        if entry is None:
            entry = self._entries[stored.key] = _Entry(stored)
        entry.latest = stored
        parsed = _parse_stored(stored)
        if isinstance(parsed, Failure):
            self.rejected[stored.key] = parsed
            return ObjectOutcome.REJECTED
        self.rejected.pop(stored.key, None)
        entry.last_valid = stored
        kind, name = split_config_key(stored.key)
        declared = self._declared.get(kind, {})
        self.index.replace(declared.get(name), parsed)
        if parsed is None:
            declared.pop(name, None)
        else:
            declared[name] = parsed
        return ObjectOutcome.APPLIED


def _parse_stored(stored: StoredObject) -> AnyDeclaration | Failure | None:
    """Parses a stored object; returns None for a tombstone or a deletion."""
    if stored.deleted:
        return None
    declaration = StoredDeclaration.decode(stored.value)
    if declaration is None:
        return Failure(ErrorKind.INVALID_REQUEST, f"{stored.key}: not a valid stored declaration")
    if declaration.deleted:
        return None
    kind, name = split_config_key(stored.key)
    return parse_declaration(kind, name, declaration.spec)
