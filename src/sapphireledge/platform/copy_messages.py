"""Messages by which engines copy running generations."""

from __future__ import annotations

import re

import msgspec

__all__ = ["decode_copy", "encode_copy", "encode_release_path"]


HANDLE = re.compile(r"[A-Za-z0-9._~-]{1,128}")
"""Ids of copies that can be part of a header and of a path."""


class _Copy(msgspec.Struct):
    """Response to a request for a copy."""

    handle: str = ""


class _CopyRequest(msgspec.Struct):
    """Request for a copy of the generation `id` at the address `target`.

    Without the field `last`, the generation goes on.
    """

    id: str
    target: str


def encode_copy(request_id: str, address: str) -> bytes:
    """Encodes a request for a copy.

    Args:
        request_id: Id of the request of the generation.
        address: Address of the engine that receives the copy.

    Returns:
        The body.
    """
    return msgspec.json.encode(_CopyRequest(request_id, address))


def decode_copy(body: bytes) -> str:
    """Decodes the response to a request for a copy.

    Args:
        body: Body of the response.

    Returns:
        Id of the copy, empty if the body or the id cannot be used.
    """
    try:
        handle = msgspec.json.decode(body, type=_Copy).handle
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return ""
    return handle if HANDLE.fullmatch(handle) else ""


def encode_release_path(handle: str) -> bytes:
    """Encodes the path of the request that gives a copy up.

    Args:
        handle: Id of the copy.

    Returns:
        The path.
    """
    return f"/kv-handle/{handle}".encode()
