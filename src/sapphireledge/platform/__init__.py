"""Adapter to the users' platform: settings, headers, configuration and registry.

Only this package knows the platform's names. Everything is decoded here once into the types of
`sapphireledge.gateway`.
"""

from __future__ import annotations
