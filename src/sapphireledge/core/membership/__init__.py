"""Decisions about membership: peers, representatives, merge of heartbeats, choice of a partner."""

from __future__ import annotations

from sapphireledge.core.membership.change_log import ChangeLog
from sapphireledge.core.membership.choose_partner import choose_partner
from sapphireledge.core.membership.choose_representatives import choose_representatives
from sapphireledge.core.membership.clearing_notice import ClearingNotice
from sapphireledge.core.membership.death_notice import DeathNotice
from sapphireledge.core.membership.entry_state import EntryState
from sapphireledge.core.membership.heartbeat_merge import HeartbeatMerge
from sapphireledge.core.membership.heartbeat_period import heartbeat_period
from sapphireledge.core.membership.heartbeat_report import HeartbeatReport
from sapphireledge.core.membership.member import Member
from sapphireledge.core.membership.membership import Membership
from sapphireledge.core.membership.merge_result import MergeResult
from sapphireledge.core.membership.peer_status import PeerStatus
from sapphireledge.core.membership.rank_by_rendezvous import rank_by_rendezvous
from sapphireledge.core.membership.usage_sums import UsageSums

__all__ = [
    "ChangeLog",
    "ClearingNotice",
    "DeathNotice",
    "EntryState",
    "HeartbeatMerge",
    "HeartbeatReport",
    "Member",
    "Membership",
    "MergeResult",
    "PeerStatus",
    "UsageSums",
    "choose_partner",
    "choose_representatives",
    "heartbeat_period",
    "rank_by_rendezvous",
]
