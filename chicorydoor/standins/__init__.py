"""Stand-ins for external systems, for tests, the bench and the demo."""
