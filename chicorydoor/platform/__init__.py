"""Adapter to the platform that the first users run on.

It translates the platform's settings, store calls, documents and headers
into the product's own types, and holds no decision.
"""
