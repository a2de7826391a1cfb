"""Conversion of failures to exceptions of the operator interface."""

from __future__ import annotations

from sapphireledge.errors import ConflictFailure, ErrorKind, Failure, Ran
from sapphireledge.operator.messages import OperatorError, RanState
from sapphireledge.rpc import secret_matches

__all__ = ["check_hello", "to_exception"]

RAN_STATES = {Ran.NO: RanState.NO, Ran.YES: RanState.YES, Ran.UNKNOWN: RanState.UNKNOWN}
"""Thrift value of each `Ran`."""


def to_exception(failure: Failure) -> Exception:
    """Converts a failure to `OperatorError`.

    Args:
        failure: The failure.

    Returns:
        The exception to raise.
    """
    versions = {}
    if isinstance(failure, ConflictFailure):
        versions = {
            "base_version": failure.base_version,
            "current_version": failure.current_version,
        }
    return OperatorError(
        kind=str(failure.kind), reason=failure.reason, ran=RAN_STATES[failure.ran], **versions
    )


def check_hello(expected: str, secret: str, who: str) -> None:
    """Checks the first call of a connection; raises `OperatorError` if it is refused.

    Args:
        expected: Secret of the operators.
        secret: Secret that the client presented.
        who: Name of the operator.
    """
    if not secret_matches(expected, secret):
        raise to_exception(Failure(ErrorKind.UNAUTHENTICATED, "the secret does not match"))
    if not who:
        raise to_exception(Failure(ErrorKind.INVALID_REQUEST, "who: is required"))
