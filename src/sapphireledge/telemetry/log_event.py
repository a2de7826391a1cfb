"""Fixed list of log event names."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["LogEvent"]


class LogEvent(StrEnum):
    """Names of log lines; a log line has no other free text."""

    INSTANCE_STARTING = "instance_starting"
    """The process started and read its settings."""

    INSTANCE_READY = "instance_ready"
    """The instance accepts new work."""

    INSTANCE_DRAINING = "instance_draining"
    """A planned stop began."""

    INSTANCE_STOPPED = "instance_stopped"
    """The process is about to end."""

    REQUEST_ACCEPTED = "request_accepted"
    """A request passed admission."""

    REQUEST_REFUSED = "request_refused"
    """A request ended in a refusal."""

    REQUEST_COMPLETED = "request_completed"
    """A request ended in a complete answer."""

    ATTEMPT_LOST = "attempt_lost"
    """An attempt at a backend server was lost."""

    ATTEMPT_RESUMED = "attempt_resumed"
    """A generation continued in a new attempt."""

    ANSWER_UNPROTECTED = "answer_unprotected"
    """Tokens were delivered without a stored copy."""

    ANSWER_TAKEN_OVER = "answer_taken_over"
    """This instance took over the answer of another one."""

    PEER_CONNECTED = "peer_connected"
    """A link to a peer was established."""

    PEER_LOST = "peer_lost"
    """A link to a peer broke or went silent."""

    PEER_REFUSED = "peer_refused"
    """A peer message was refused."""

    PLATFORM_LOST = "platform_lost"
    """Calls to the platform fail."""

    PLATFORM_BACK = "platform_back"
    """Calls to the platform succeed again."""

    CONFIG_APPLIED = "config_applied"
    """A newer version of a declaration is in force."""

    CONFIG_REJECTED = "config_rejected"
    """A stored declaration could not be used."""

    CLAIM_SETTLED = "claim_settled"
    """A claim reached an outcome."""

    BACKEND_LEAVING = "backend_leaving"
    """A backend server is marked as leaving."""

    BACKEND_DEAD = "backend_dead"
    """A backend server died."""

    REQUEST_CONDEMNED = "request_condemned"
    """A fingerprint is refused from now on."""

    ORDER_SENT = "order_sent"
    """An order was sent to an engine."""

    ORDER_CORRECTED = "order_corrected"
    """A late order of an earlier holder was undone."""

    SEGMENT_WRITTEN = "segment_written"
    """A segment of recorded events was written."""

    EVENTS_DROPPED = "events_dropped"
    """Recorded events were dropped for lack of memory."""

    OPERATOR_CALL = "operator_call"
    """An operator changed something."""

    INTERNAL_ERROR = "internal_error"
    """A fault of the system itself."""
