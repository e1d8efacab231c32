"""Decisions of an entry that depend on its peers and their state."""
