"""A whole fleet on loopback that checks its own promises."""
