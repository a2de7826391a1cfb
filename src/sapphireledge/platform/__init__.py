"""Adapter to the users' platform: settings, headers, configuration and server registry.

The platform's names occur only in this package, which decodes everything once into the types of
`sapphireledge.gateway`.
"""

from __future__ import annotations
