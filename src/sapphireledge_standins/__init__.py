"""Small stand-ins for the platform, an engine and a plain service."""
