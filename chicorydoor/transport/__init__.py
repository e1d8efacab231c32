"""Sockets, HTTP, the store client and clocks."""
