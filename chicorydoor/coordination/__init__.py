"""Coordination between entries, and the request path built on it."""
