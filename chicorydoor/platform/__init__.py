"""Adapter to the platform that entries are deployed on.

It converts the platform's settings, store calls, documents and headers to
the package's own types, answers look-ups and runs an entry as a daemon. The
decisions about requests, targets and rates are made elsewhere.
"""
