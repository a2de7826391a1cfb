"""Record of the death of one engine incarnation."""

from __future__ import annotations

import msgspec

from sapphireledge.errors import ErrorKind, Failure

__all__ = ["DeathRecord"]


class DeathRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Death of one engine incarnation, with the requests that were in flight on it.

    Several instances can report the same death, each with its own requests. Their records have the
    same key and are merged by union, so they can be delivered in any order and more than once.
    """

    backend: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the incarnation that died."""

    time_unix: float
    """Time at which the reporting instance detected the death, in Unix seconds."""

    suspects: tuple[str, ...] = ()
    """Fingerprints of the requests in flight, isolated ones included."""

    isolated: tuple[str, ...] = ()
    """Those of the `suspects` that ran isolated."""

    @property
    def key(self) -> tuple[str, str]:
        """Identity of the engine incarnation."""
        return self.backend, self.boot_id

    def merge(self, other: DeathRecord) -> DeathRecord:
        """Merges two reports of the same death.

        Args:
            other: Record with the same key.

        Returns:
            A record with the union of the requests and the earlier of the two times.
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
            value: Output of `encode`; unknown fields are ignored.

        Returns:
            The record, or a failure of kind invalid_request.
        """
        try:
            return _DECODER.decode(value)
        except msgspec.DecodeError as exc:
            return Failure(ErrorKind.INVALID_REQUEST, f"invalid death record: {exc}")


_DECODER = msgspec.json.Decoder(DeathRecord)
