"""Stand-ins of the review's scripts; they need the standard library only."""
