"""Record that the deaths of a request no longer count."""

from __future__ import annotations

import msgspec

from sapphireledge.errors import ErrorKind, Failure

__all__ = ["ClearingRecord"]


class ClearingRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A completion of a request, or its lifting by an operator.

    Deaths up to its time no longer count. Like death records it may arrive several times and before
    the deaths that it clears.
    """

    fingerprint: str
    """Fingerprint of the request."""

    time_unix: float
    """Time of the completion or the order, in Unix seconds."""

    who: str = ""
    """Operator who lifted it; empty for a completion."""

    why: str = ""
    """Reason that the operator gave."""

    def encode(self) -> bytes:
        """Encodes the record for storage.

        Returns:
            The record as JSON.
        """
        return msgspec.json.encode(self)

    @staticmethod
    def decode(value: bytes) -> ClearingRecord | Failure:
        """Decodes a stored record.

        Args:
            value: Result of `encode`; unknown fields are ignored.

        Returns:
            The record, or a failure of kind invalid_request.
        """
        try:
            return _DECODER.decode(value)
        except msgspec.DecodeError as exc:
            return Failure(ErrorKind.INVALID_REQUEST, f"clear record: {exc}")


_DECODER = msgspec.json.Decoder(ClearingRecord)
