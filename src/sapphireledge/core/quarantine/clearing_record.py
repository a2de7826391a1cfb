"""Record that clears a suspected request."""

from __future__ import annotations

import msgspec

from sapphireledge.errors import ErrorKind, Failure

__all__ = ["ClearingRecord"]


class ClearingRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Clears a request because it completed or because an operator lifted its quarantine.

    Deaths of the request up to `time_unix` no longer count. Like a death record, it may arrive more
    than once, and before the deaths that it clears.
    """

    fingerprint: str
    """Fingerprint of the request."""

    time_unix: float
    """Time of the completion or of the operator's command, in Unix seconds."""

    who: str = ""
    """Operator who lifted the quarantine; empty for a completion."""

    why: str = ""
    """Reason given by the operator."""

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
            value: Output of `encode`; unknown fields are ignored.

        Returns:
            The record, or a failure of kind invalid_request.
        """
        try:
            return _DECODER.decode(value)
        except (msgspec.DecodeError, RecursionError) as exc:
            return Failure(ErrorKind.INVALID_REQUEST, f"invalid clearing record: {exc}")


_DECODER = msgspec.json.Decoder(ClearingRecord)
