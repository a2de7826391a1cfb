"""Decisions as pure functions and classes: no clock, no socket, no random source of their own."""
