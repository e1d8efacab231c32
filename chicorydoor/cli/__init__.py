"""Command line: one module for each sub-command, and what they share.

An entry is one proxy process: callers connect to it, and it forwards their
requests to targets, the back-end servers. An instance id names one entry.
"""
