"""Encodes the load that instances share.

The parts are arrays: fields added at their end are ignored by older instances. Amounts are sent as
whole tenths and tokens as whole ones, which take few bytes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, TypeVar

import msgspec

from sapphireledge.core.shared_load import LoadDigest, MergedLoad, ServiceLoad, WorkspaceStreams

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["MAX_LOAD_BYTES", "decode_digest", "decode_merged", "encode_digest", "encode_merged"]

MAX_LOAD_BYTES = 6_144
"""Largest encoded load in bytes, that of a relay with the longest names."""

SCALE = 10.0
"""Units in which amounts are sent."""

MILLISECONDS = 1_000.0
"""Units of a second in which ages are sent."""

MAX_UNITS = 2**40
"""Largest amount in a message; larger ones are sent as this one."""

USUAL_AMOUNT = 1e9
"""Amount up to which no unit exceeds `MAX_UNITS`."""

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNITS)]
Name = Annotated[str, msgspec.Meta(max_length=128)]
StreamRow = tuple[Name, Amount, Amount, Amount]
ArrivalRow = tuple[Amount, Name, Amount]
Part = TypeVar("Part")


class ServicePart(msgspec.Struct, frozen=True, array_like=True):
    """Load of one service."""

    name: Name
    """Name of the service."""

    streams: Annotated[list[StreamRow], msgspec.Meta(max_length=64)]
    """Workspace, tokens, arrived and started streams."""

    arrivals: Annotated[list[ArrivalRow], msgspec.Meta(max_length=64)]
    """Rank, workspace and arrivals of plain requests."""

    rejections: Amount
    """Rejections by full servers."""

    responses: Amount
    """Responses to plain requests."""

    response_time: Amount
    """Sum of response times as shares of the target."""


Services = Annotated[list[ServicePart], msgspec.Meta(max_length=8)]


class DigestPart(msgspec.Struct, frozen=True, array_like=True):
    """Load that one instance has seen."""

    instance: Name
    """Name of the instance."""

    incarnation: int
    """Random number of the process."""

    sequence: int
    """Number of the digest within the incarnation."""

    services: Services
    """Load by service."""


class MergedPart(msgspec.Struct, frozen=True, array_like=True):
    """Load that several instances have seen."""

    instances: Amount
    """Number of instances."""

    age: Amount
    """Mean age of their figures in milliseconds."""

    services: Services
    """Load by service."""


def encode_digest(digest: LoadDigest) -> bytes:
    """Encodes the load that one instance has seen.

    Args:
        digest: The load.

    Returns:
        The bytes.
    """
    part = DigestPart(
        digest.instance, digest.incarnation, digest.sequence, _encode_services(digest.services)
    )
    return msgspec.msgpack.encode(part)


def encode_merged(merged: MergedLoad) -> bytes:
    """Encodes the load that several instances have seen.

    Args:
        merged: The load.

    Returns:
        The bytes.
    """
    part = MergedPart(
        _to_units(merged.instances, 1.0),
        _to_units(merged.age, MILLISECONDS),
        _encode_services(merged.services),
    )
    return msgspec.msgpack.encode(part)


def decode_digest(data: object) -> LoadDigest:
    """Decodes the load that one instance has seen.

    Args:
        data: Content of the message's field.

    Returns:
        The load.

    Raises:
        ValueError: The content is too large or has another form.
    """
    part = _decode(data, DigestPart)
    return LoadDigest(
        part.instance, part.incarnation, part.sequence, _decode_services(part.services)
    )


def decode_merged(data: object) -> MergedLoad:
    """Decodes the load that several instances have seen.

    Args:
        data: Content of the message's field.

    Returns:
        The load.

    Raises:
        ValueError: The content is too large or has another form.
    """
    part = _decode(data, MergedPart)
    return MergedLoad(part.instances, part.age / MILLISECONDS, _decode_services(part.services))


def _decode(data: object, kind: type[Part]) -> Part:
    """Decodes one part."""
    if not isinstance(data, bytes):
        raise ValueError(f"{type(data).__name__} instead of bytes")
    if len(data) > MAX_LOAD_BYTES:
        raise ValueError(f"{len(data)} bytes")
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ValueError(str(exc)) from exc


def _encode_services(services: Mapping[str, ServiceLoad]) -> list[ServicePart]:
    """Converts the load by service to what is sent."""
    return [
        ServicePart(
            name,
            [
                (
                    workspace,
                    _to_units(row.tokens, 1.0),
                    _to_units(row.arrived),
                    _to_units(row.started),
                )
                for workspace, row in load.streams.items()
            ],
            [
                (rank, workspace, _to_units(amount))
                for (rank, workspace), amount in load.arrivals.items()
            ],
            _to_units(load.rejections),
            _to_units(load.responses),
            _to_units(load.response_time),
        )
        for name, load in services.items()
    ]


def _decode_services(parts: list[ServicePart]) -> dict[str, ServiceLoad]:
    """Converts what was received to the load by service."""
    return {
        part.name: ServiceLoad(
            {
                workspace: WorkspaceStreams(float(tokens), arrived / SCALE, started / SCALE)
                for workspace, tokens, arrived, started in part.streams
            },
            {(rank, workspace): amount / SCALE for rank, workspace, amount in part.arrivals},
            part.rejections / SCALE,
            part.responses / SCALE,
            part.response_time / SCALE,
        )
        for part in parts
    }


def _to_units(amount: float, scale: float = SCALE) -> int:
    """Converts an amount to the units in which it is sent, within what receivers accept."""
    if 0.0 <= amount <= USUAL_AMOUNT:
        return round(amount * scale)
    bounded = min(max(0.0, amount), MAX_UNITS)
    return min(round(bounded * scale), MAX_UNITS)
