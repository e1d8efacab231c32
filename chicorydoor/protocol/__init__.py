"""Typed messages, records, settings and result codes."""
