"""Simulation of targets, entries and callers, to compare target selection."""
