"""Stand-ins for the platform, runners and clients; only the standard library is used."""
