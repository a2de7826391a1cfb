"""Decisions about membership: peers, representatives, merge of heartbeats, choice of a partner."""

from __future__ import annotations

from sapphireledge.core.membership.choose_partner import choose_partner
from sapphireledge.core.membership.choose_representatives import choose_representatives
from sapphireledge.core.membership.clearing_notice import ClearingNotice
from sapphireledge.core.membership.compute_heartbeat_interval import compute_heartbeat_interval
from sapphireledge.core.membership.death_notice import DeathNotice
from sapphireledge.core.membership.entry_state import EntryState
from sapphireledge.core.membership.heartbeat_merger import HeartbeatMerger
from sapphireledge.core.membership.heartbeat_report import HeartbeatReport
from sapphireledge.core.membership.member import Member
from sapphireledge.core.membership.membership import Membership
from sapphireledge.core.membership.merge_result import MergeResult
from sapphireledge.core.membership.peer_status import PeerStatus
from sapphireledge.core.membership.rank_by_rendezvous import rank_by_rendezvous
from sapphireledge.core.membership.usage_change_log import UsageChangeLog
from sapphireledge.core.membership.usage_sums import UsageSums

__all__ = [
    "ClearingNotice",
    "DeathNotice",
    "EntryState",
    "HeartbeatMerger",
    "HeartbeatReport",
    "Member",
    "Membership",
    "MergeResult",
    "PeerStatus",
    "UsageChangeLog",
    "UsageSums",
    "choose_partner",
    "choose_representatives",
    "compute_heartbeat_interval",
    "rank_by_rendezvous",
]
