"""Data structures that hold the state of one process."""
