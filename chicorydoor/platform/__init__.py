"""Adapter to the platform that entries are deployed on.

It converts the platform's settings, store calls, documents and headers to
the package's own types, and makes no decisions.
"""
