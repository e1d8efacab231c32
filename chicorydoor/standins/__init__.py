"""Stand-ins for external systems, for tests, the benchmarks and the demo."""
