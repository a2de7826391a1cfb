"""Helpers of the scripts, tests and benchmarks."""
