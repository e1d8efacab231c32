"""The command line, one module for each sub-command."""
