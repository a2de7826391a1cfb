"""Software versions that began streams, and versions that served lately."""

from sapphireledge.core.origins.digest_attempt import digest_attempt
from sapphireledge.core.origins.heard_versions import HeardVersions
from sapphireledge.core.origins.origin_ledger import Origin, OriginLedger
from sapphireledge.core.origins.origin_report import MAX_SERVICES, OriginReport
from sapphireledge.core.origins.version_sightings import VersionSightings

__all__ = [
    "MAX_SERVICES",
    "HeardVersions",
    "Origin",
    "OriginLedger",
    "OriginReport",
    "VersionSightings",
    "digest_attempt",
]
