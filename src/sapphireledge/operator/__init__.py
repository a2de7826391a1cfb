"""Part of the entry instance."""
