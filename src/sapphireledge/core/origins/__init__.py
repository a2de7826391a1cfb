"""Software versions that began streams, and versions that served lately."""

from sapphireledge.core.origins.digest_attempt import digest_attempt
from sapphireledge.core.origins.origin_ledger import OriginLedger
from sapphireledge.core.origins.version_sightings import VersionSightings

__all__ = ["OriginLedger", "VersionSightings", "digest_attempt"]
