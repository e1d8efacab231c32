"""In-memory state of one process: limits, targets, peers, configuration."""
