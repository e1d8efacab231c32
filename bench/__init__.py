"""Benchmarks of real processes and of single parts, on loopback."""
