"""Benchmarks; each module is one command."""
