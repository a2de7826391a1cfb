"""Helpers for the scripts, tests and benchmarks."""
