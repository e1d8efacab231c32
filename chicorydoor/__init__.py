"""Global traffic steering for services in several regions.

An entry is one proxy process: callers connect to it, and it forwards their
requests to targets, the back-end servers. A customer is a party whose
requests are identified by its API keys and limited to its rate over all
entries together. A failure domain is a group of entries and targets that may
fail or be cut off as a whole; a region is a group of failure domains with low
latency between them.

There are two paths, each with its own settings, messages and interface:

- The product's own path has a coordinator in each failure domain. ``compose``
  connects its parts, and ``chicorydoor entry`` runs one of its entries.
- On the fleet path all entries share the key-value store of the users'
  platform and exchange heartbeats and digests directly. The package
  ``platform`` adapts the platform's settings, store calls, documents and
  headers. ``compose_fleet`` connects the components, ``fleet_entry`` adds the
  ports, and ``python -m chicorydoor.platform`` runs an entry.

The platform is the environment that entries are deployed on.
"""

__version__ = "0.1.0"
