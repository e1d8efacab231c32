"""Demo: runs a fleet on loopback and checks the system's guarantees."""
