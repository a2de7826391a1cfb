"""Stored form of a declaration."""

from __future__ import annotations

import msgspec

__all__ = ["CONFIG_PREFIX", "StoredDeclaration", "config_key", "split_config_key"]

CONFIG_PREFIX = "config/"
"""Key prefix of all declarations."""


class StoredDeclaration(msgspec.Struct, frozen=True):
    """Stored form of a declaration."""

    change: str
    """Operation id of the change that wrote the declaration."""

    spec: str
    """The declaration as JSON, empty for a tombstone."""

    deleted: bool = False
    """Whether the declaration is a tombstone."""

    def encode(self) -> bytes:
        """Encodes the declaration.

        Returns:
            The declaration as JSON.
        """
        return msgspec.json.encode(self)

    def nonce(self) -> str:
        """Returns text that occurs only in values written by the same change.

        Quotes within other fields are escaped, so no declaration can contain this text.

        Returns:
            A substring of the encoded value.
        """
        return f'"change":{msgspec.json.encode(self.change).decode()}'

    @classmethod
    def decode(cls, value: bytes) -> StoredDeclaration | None:
        """Decodes a stored value.

        Args:
            value: The stored value.

        Returns:
            The declaration, or None if the value is not a valid one.
        """
        try:
            return msgspec.json.decode(value, type=cls)
        except (msgspec.DecodeError, RecursionError):
            return None


def config_key(kind: str, name: str) -> str:
    """Builds the object key of a declaration.

    Args:
        kind: A value of `DeclarationKind`.
        name: Name of the declared object.

    Returns:
        The object key.
    """
    return f"{CONFIG_PREFIX}{kind}/{name}"


def split_config_key(key: str) -> tuple[str, str]:
    """Splits the object key of a declaration.

    Args:
        key: The object key.

    Returns:
        Kind and name.
    """
    kind, _, name = key.removeprefix(CONFIG_PREFIX).partition("/")
    return kind, name
