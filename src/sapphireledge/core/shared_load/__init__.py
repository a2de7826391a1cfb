"""Load that the other instances of a data centre have seen."""

from sapphireledge.core.shared_load.bound_load import bound_load
from sapphireledge.core.shared_load.load_digest import LoadDigest
from sapphireledge.core.shared_load.load_summary import LoadSummary
from sapphireledge.core.shared_load.merge_loads import merge_loads, subtract_load
from sapphireledge.core.shared_load.merged_load import MergedLoad
from sapphireledge.core.shared_load.service_load import ServiceLoad
from sapphireledge.core.shared_load.shared_load import SharedLoad
from sapphireledge.core.shared_load.shared_load_limits import SharedLoadLimits
from sapphireledge.core.shared_load.trim_load import trim_load
from sapphireledge.core.shared_load.workspace_streams import WorkspaceStreams

__all__ = [
    "LoadDigest",
    "LoadSummary",
    "MergedLoad",
    "ServiceLoad",
    "SharedLoad",
    "SharedLoadLimits",
    "WorkspaceStreams",
    "bound_load",
    "merge_loads",
    "subtract_load",
    "trim_load",
]
