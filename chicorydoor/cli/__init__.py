"""Command line: one module for each sub-command, and what they share."""
