"""Exchangeable policies, registered by name."""
