"""Origins of streams and versions that one instance shares with the others."""

from __future__ import annotations

import base64
import binascii
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sapphireledge.core.origins.origin_ledger import Origin
from sapphireledge.errors import ErrorKind, Failure

__all__ = ["MAX_SERVICES", "OriginReport"]

DIGEST_BYTES = 8
"""Length of a stored digest."""

MAX_ORIGINS = 4096
"""Largest number of origins in a report, about 45 kB."""

MAX_SERVICES = 512
"""Largest number of services in a report."""

MAX_VERSIONS = 64
"""Largest number of versions of one service in a report."""


class _StoredReport(msgspec.Struct, omit_defaults=True):
    """Report as it is stored, by service; the digests of a version are one text in Base64."""

    versions: dict[str, list[str]] = {}
    origins: dict[str, dict[str, str]] = {}


@dataclass(frozen=True, slots=True)
class OriginReport:
    """Versions that were seen lately, and the versions that began streams."""

    versions: Mapping[str, frozenset[str]] = field(default_factory=dict)
    """Versions by service."""

    origins: Mapping[Origin, tuple[int, ...]] = field(default_factory=dict)
    """Digests of callers' attempts by what began their streams."""

    @property
    def is_empty(self) -> bool:
        """Whether the report says nothing."""
        return not self.versions and not self.origins

    def adds_to(self, other: OriginReport) -> bool:
        """Checks whether the report says anything that another does not.

        Args:
            other: The other report.

        Returns:
            Whether it does.
        """
        nothing: frozenset[str] = frozenset()
        return any(
            versions - other.versions.get(service, nothing)
            for service, versions in self.versions.items()
        ) or any(
            set(digests).difference(other.origins.get(origin, ()))
            for origin, digests in self.origins.items()
        )

    def to_builtins(self) -> Any:
        """Converts the report for storage; origins beyond the limit are left out, oldest first.

        Returns:
            A value that JSON can encode.
        """
        left = MAX_ORIGINS
        origins: dict[str, dict[str, str]] = {}
        for origin, digests in self.origins.items():
            kept = digests[-left:] if left else ()
            left -= len(kept)
            if kept:
                data = struct.pack(f">{len(kept)}Q", *kept)
                text = base64.b64encode(data).decode()
                origins.setdefault(origin.service, {})[origin.version] = text
        versions = {service: sorted(names) for service, names in sorted(self.versions.items())}
        return msgspec.to_builtins(_StoredReport(versions, origins))

    @staticmethod
    def from_builtins(value: Any) -> OriginReport | Failure:
        """Validates a stored report.

        Args:
            value: Output of `to_builtins`; unknown fields are ignored.

        Returns:
            The report, or a failure of kind invalid_request.
        """
        try:
            stored = msgspec.convert(value, _StoredReport)
            if max(len(stored.versions), len(stored.origins)) > MAX_SERVICES:
                raise ValueError("more services than any instance follows")
            if any(len(names) > MAX_VERSIONS for names in stored.versions.values()):
                raise ValueError("more versions of a service than any instance knows")
            origins = {
                Origin(service, version): _decode(text)
                for service, texts in stored.origins.items()
                for version, text in texts.items()
            }
            if sum(map(len, origins.values())) > MAX_ORIGINS:
                raise ValueError("more origins than any instance shares")
        except (msgspec.ValidationError, ValueError, RecursionError) as exc:
            return Failure(ErrorKind.INVALID_REQUEST, f"invalid report of origins: {exc}")
        versions = {
            service: frozenset(names) for service, names in stored.versions.items() if names
        }
        return OriginReport(versions, origins)


def _decode(text: str) -> tuple[int, ...]:
    """Decodes the digests of one version; raises `ValueError` for anything else."""
    try:
        data = base64.b64decode(text, validate=True)
    except binascii.Error as exc:
        raise ValueError(str(exc)) from exc
    count, rest = divmod(len(data), DIGEST_BYTES)
    if rest:
        raise ValueError(f"{len(data)} bytes of digests")
    return struct.unpack(f">{count}Q", data)
