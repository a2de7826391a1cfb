"""Record of the death of one engine incarnation."""

from __future__ import annotations

import msgspec

from sapphireledge.errors import ErrorKind, Failure

__all__ = ["DeathRecord"]


class DeathRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Death of one engine incarnation and the requests that were in flight there.

    Several instances can report the same death, each with its own requests. Their records have the
    same key and are merged by union, so the order and number of deliveries do not matter.
    """

    backend: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the incarnation that died."""

    time_unix: float
    """Time at which the reporter saw the death, in Unix seconds."""

    suspects: tuple[str, ...] = ()
    """Fingerprints of the requests in flight, isolated ones included."""

    isolated: tuple[str, ...] = ()
    """Fingerprints among them that ran isolated."""

    @property
    def key(self) -> tuple[str, str]:
        """Identity of the engine incarnation."""
        return self.backend, self.boot_id

    def merge(self, other: DeathRecord) -> DeathRecord:
        """Joins two reports of the same death.

        Args:
            other: Record with the same key.

        Returns:
            The union of the requests at the earlier of both times.
        """
        return DeathRecord(
            backend=self.backend,
            boot_id=self.boot_id,
            time_unix=min(self.time_unix, other.time_unix),
            suspects=tuple(sorted({*self.suspects, *other.suspects})),
            isolated=tuple(sorted({*self.isolated, *other.isolated})),
        )

    def encode(self) -> bytes:
        """Encodes the record for storage.

        Returns:
            The record as JSON.
        """
        return msgspec.json.encode(self)

    @staticmethod
    def decode(value: bytes) -> DeathRecord | Failure:
        """Decodes a stored record.

        Args:
            value: Result of `encode`; unknown fields are ignored.

        Returns:
            The record, or a failure of kind invalid_request.
        """
        try:
            return _DECODER.decode(value)
        except msgspec.DecodeError as exc:
            return Failure(ErrorKind.INVALID_REQUEST, f"death record: {exc}")


_DECODER = msgspec.json.Decoder(DeathRecord)
