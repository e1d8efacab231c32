"""Demo: runs a whole fleet on loopback and checks the system's promises."""
