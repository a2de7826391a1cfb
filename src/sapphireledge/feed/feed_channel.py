"""Length-prefixed MessagePack messages on a stream."""

from __future__ import annotations

import asyncio
from typing import TypeVar

import msgspec

from sapphireledge.feed.source_error import SourceError

__all__ = ["encode_message", "read_message", "write_message"]

LENGTH_BYTES = 4
"""Size of the big-endian length prefix."""

MAX_MESSAGE_BYTES = 16_777_216
"""Largest message in bytes; a listing of the largest expected fleet takes about one megabyte."""

Message = TypeVar("Message")


async def read_message(
    reader: asyncio.StreamReader, kind: type[Message], max_bytes: int = MAX_MESSAGE_BYTES
) -> Message:
    """Reads one message.

    Args:
        reader: Stream.
        kind: Type to decode the message as.
        max_bytes: Largest message in bytes.

    Returns:
        The message.

    Raises:
        SourceError: The stream ended, or the message is too large or cannot be decoded.
    """
    try:
        length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if length > max_bytes:
            raise SourceError(f"message too large: {length} bytes")
        return msgspec.msgpack.decode(await reader.readexactly(length), type=kind)
    except (OSError, asyncio.IncompleteReadError, msgspec.MsgspecError, RecursionError) as exc:
        raise SourceError(f"cannot read message: {exc!r}") from exc


def encode_message(message: object) -> bytes:
    """Encodes one message with its length.

    Args:
        message: Message that MessagePack can encode.

    Returns:
        The bytes to send.
    """
    data = msgspec.msgpack.encode(message)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def write_message(writer: asyncio.StreamWriter, message: object) -> None:
    """Queues one message.

    Args:
        writer: Stream.
        message: Message that MessagePack can encode.
    """
    writer.write(encode_message(message))
