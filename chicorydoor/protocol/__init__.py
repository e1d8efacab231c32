"""Typed messages, configuration records, settings and result codes."""
