"""Fixed list of log event names."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["LogEvent"]


class LogEvent(StrEnum):
    """Event names of log lines, which contain no other free text."""

    INSTANCE_STARTING = "instance_starting"
    """The process started and loaded its settings."""

    INSTANCE_READY = "instance_ready"
    """The instance accepts new work."""

    SETTINGS_NOT_RELOADED = "settings_not_reloaded"
    """SIGHUP arrived; changed settings take effect when the instance is started again."""

    INSTANCE_DRAINING = "instance_draining"
    """A graceful shutdown began."""

    INSTANCE_STOPPED = "instance_stopped"
    """The process is about to exit."""

    REQUEST_ACCEPTED = "request_accepted"
    """A request passed admission."""

    REQUEST_REFUSED = "request_refused"
    """A request was refused."""

    REQUEST_COMPLETED = "request_completed"
    """A request ended with a complete answer."""

    ATTEMPT_LOST = "attempt_lost"
    """An attempt on a backend server was lost."""

    ATTEMPT_RESUMED = "attempt_resumed"
    """A generation was resumed by a new attempt."""

    ANSWER_UNPROTECTED = "answer_unprotected"
    """Tokens were delivered without a copy stored by another entry instance."""

    ANSWER_TAKEN_OVER = "answer_taken_over"
    """This instance took over an answer from another one."""

    PEER_CONNECTED = "peer_connected"
    """A link to a peer was established."""

    PEER_LOST = "peer_lost"
    """A link to a peer broke or timed out."""

    PEER_REFUSED = "peer_refused"
    """A peer message was refused."""

    PLATFORM_LOST = "platform_lost"
    """Calls to the platform started to fail."""

    PLATFORM_BACK = "platform_back"
    """Calls to the platform succeed again."""

    CONFIG_APPLIED = "config_applied"
    """A newer version of a declaration took effect."""

    CONFIG_REJECTED = "config_rejected"
    """A stored declaration was rejected."""

    CLAIM_SETTLED = "claim_settled"
    """The outcome of a claim was determined."""

    BACKEND_LEAVING = "backend_leaving"
    """A backend server was marked as leaving."""

    INSTANCE_UNREADABLE = "instance_unreadable"
    """A row of the instance list cannot be decoded and is left out."""

    BACKEND_DEAD = "backend_dead"
    """A backend server died."""

    REQUEST_CONDEMNED = "request_condemned"
    """Requests with a fingerprint are refused from now on."""

    ORDER_SENT = "order_sent"
    """An order was sent to an engine."""

    ORDER_CORRECTED = "order_corrected"
    """A delayed order of a previous lease holder was reverted."""

    SEGMENT_WRITTEN = "segment_written"
    """A segment of recorded events was written to the platform."""

    EVENTS_DROPPED = "events_dropped"
    """Recorded events were dropped because their memory limit was reached."""

    CALLERS_LIMITED = "callers_limited"
    """Connections were closed or requests refused because of limits on callers."""

    OPERATOR_CALL = "operator_call"
    """An operator changed something."""

    INTERNAL_ERROR = "internal_error"
    """An unexpected error in this process."""
