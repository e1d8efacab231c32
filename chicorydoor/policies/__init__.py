"""Replaceable policies, found by name in registries."""
