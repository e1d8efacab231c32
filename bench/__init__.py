"""Measurements of the real processes and parts, on loopback."""
