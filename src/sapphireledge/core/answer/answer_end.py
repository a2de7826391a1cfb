"""How an answer ended."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.errors import ErrorKind, Failure, Ran

__all__ = ["AnswerEnd"]

_PREFIX = "error"


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """How an answer ended: with the finish reason of the engine, or with a failure.

    The copy stores the end as one string. Failures are stored as well, because otherwise a caller
    that reconnects would start the request again.
    """

    reason: str
    """Finish reason of the engine; empty for a failure."""

    failure: Failure | None = None
    """Failure that ended the answer, if any."""

    def to_finish(self) -> str:
        """Encodes the end.

        Returns:
            The finish reason, or `error:<kind>:<ran>:<reason>`.
        """
        if self.failure is None:
            # In a copy, an empty string means that the answer has not ended.
            return self.reason or "stop"
        failure = self.failure
        return f"{_PREFIX}:{failure.kind}:{failure.ran}:{failure.reason}"

    @classmethod
    def parse(cls, finish: str) -> AnswerEnd:
        """Decodes a string written by `to_finish`.

        Args:
            finish: Encoded end from a copy.

        Returns:
            The end; a string that is not an encoded failure is taken as a finish reason.
        """
        parts = finish.split(":", 3)
        if len(parts) < 4 or parts[0] != _PREFIX:
            return cls(finish)
        try:
            return cls("", Failure(ErrorKind(parts[1]), parts[3], Ran(parts[2])))
        except ValueError:
            return cls(finish)
