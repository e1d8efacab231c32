"""Peer messaging, HTTP client and server, store client, logs and clocks."""
