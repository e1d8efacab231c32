"""Benchmarks of real processes and of single components, on loopback."""
